package org.parsleymoor.entry.control

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.put
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.rendezvousOrder
import org.parsleymoor.entry.protocol.EngineReport
import org.parsleymoor.relay.fleet.EndpointState
import org.parsleymoor.relay.fleet.EngineLoad

/**
 * Asks engines for their load. Each engine is asked by the first instance in its rendezvous order, which tells the
 * others; the next in order asks when no report comes, so that no engine is asked by all instances.
 */
internal class LoadLoop(private val context: ControlContext, private val peers: Peers) {
    private val beliefs = context.beliefs
    private val engines = context.engines
    private val scope = context.scope
    private val log = context.log
    private val clock = context.clock
    private val asking = HashSet<EndpointId>()
    private val ranks = HashMap<EndpointId, Int>()
    private var rankedMembers: Set<InstanceId> = emptySet()

    /** Asks until the coroutine is cancelled. */
    suspend fun run() {
        while (true) {
            val nowMillis = clock.nowMillis()
            beliefs.endpoints.all.filter { isDue(it, nowMillis) }.forEach { state ->
                asking += state.entry.id
                scope.launch { ask(state) }
            }
            delay(TICK_MILLIS)
        }
    }

    private fun isDue(state: EndpointState, nowMillis: Long): Boolean {
        val id = state.entry.id
        if (state.entry.weights.isEmpty() || id in asking) return false
        val age = nowMillis - (state.engineLoad?.atMillis ?: 0)
        return age >= PERIOD_MILLIS && age >= PERIOD_MILLIS + minOf(rank(id), LAST_RANK) * TAKEOVER_MILLIS
    }

    private fun rank(endpoint: EndpointId): Int {
        val members = beliefs.members.orEmpty()
        if (members != rankedMembers) {
            rankedMembers = members
            ranks.clear()
        }
        return ranks.getOrPut(endpoint) {
            rendezvousOrder(endpoint.value, members + beliefs.self) { it.value }.indexOf(beliefs.self)
        }
    }

    private suspend fun ask(state: EndpointState) {
        val askedMillis = clock.nowMillis()
        val report = context.ask(state.entry.address, engines.report(), CALL_MILLIS, engines::report) { reason ->
            log.write("load.unknown") {
                put("endpoint", state.entry.id.value)
                put("reason", reason)
            }
        }
        if (report == null) delay(FAILED_MILLIS) else learn(state, report, askedMillis)
        asking -= state.entry.id
    }

    private fun learn(state: EndpointState, report: EngineReport, askedMillis: Long) {
        report.weights.forEach { (model, version) -> state.learnWeights(model, version) }
        report.clockMillis?.let { beliefs.engineClock.read(it, askedMillis, clock.nowMillis()) }
        val load = EngineLoad(
            running = report.running,
            waiting = report.waiting,
            prefilling = (report.running - report.producing).coerceAtLeast(0),
            memoryUsed = report.memoryUsed,
            memoryTotal = report.memoryTotal,
            atMillis = askedMillis,
        )
        if (state.learnLoad(load)) peers.tell(state, load)
    }

    private companion object {
        const val TICK_MILLIS = 50L

        // Prompts take some hundred milliseconds to read; a report at this rate shows each of them.
        const val PERIOD_MILLIS = 230L
        const val TAKEOVER_MILLIS = 400L
        const val LAST_RANK = 4
        const val CALL_MILLIS = 400L
        const val FAILED_MILLIS = 300L
    }
}
