package org.parsleymoor.entry.control

import kotlinx.coroutines.launch
import kotlinx.serialization.json.put
import org.parsleymoor.core.EndpointId
import org.parsleymoor.entry.protocol.EngineReport
import org.parsleymoor.relay.exchange.EnginePollSchedule
import org.parsleymoor.relay.exchange.PeerUpdate
import org.parsleymoor.relay.fleet.EndpointState
import org.parsleymoor.relay.fleet.EngineLoad
import org.parsleymoor.relay.fleet.recordUnansweredPoll

/**
 * Asks engines for their load, as [EnginePollSchedule] says, and tells the others what they answer, so that no engine
 * is asked by all instances.
 */
internal class LoadLoop(private val context: ControlContext, private val peers: Peers) {
    private val beliefs = context.beliefs
    private val engines = context.engines
    private val scope = context.scope
    private val log = context.log
    private val clock = context.clock
    private val asks = EnginePollSchedule(context.membership.roster)
    private val asking = HashSet<EndpointId>()

    /** Asks until the coroutine is cancelled. */
    suspend fun run() {
        while (true) {
            val nowMillis = clock.nowMillis()
            beliefs.endpoints.all.filter { isDue(it, nowMillis) }.forEach { state ->
                asking += state.entry.id
                scope.launch { ask(state) }
            }
            context.ticks.await()
        }
    }

    private fun isDue(state: EndpointState, nowMillis: Long): Boolean =
        state.entry.weights.isNotEmpty() && state.entry.id !in asking && asks.isDue(state, nowMillis)

    private suspend fun ask(state: EndpointState) {
        val askedMillis = clock.nowMillis()
        val report = context.ask(state.entry.address, engines.report(), CALL_MILLIS, engines::report) { reason ->
            log.write("load.unknown") {
                put("endpoint", state.entry.id.value)
                put("reason", reason)
            }
        }
        if (report == null) {
            state.recordUnansweredPoll(askedMillis)
            peers.tell(PeerUpdate.Unresponsive(state.entry.id, askedMillis))
        } else {
            learn(state, report, askedMillis)
        }
        asking -= state.entry.id
    }

    private fun learn(state: EndpointState, report: EngineReport, askedMillis: Long) {
        report.weights.forEach { (model, version) -> state.learnWeights(model, version) }
        report.clockMillis?.let { beliefs.engineClock.updateFromOwnPoll(it, askedMillis, clock.nowMillis()) }
        val load = EngineLoad(
            running = report.running,
            waiting = report.waiting,
            prefilling = (report.running - report.producing).coerceAtLeast(0),
            memoryUsed = report.memoryUsed,
            memoryTotal = report.memoryTotal,
            atMillis = askedMillis,
        )
        if (state.learnLoad(load)) {
            val engineMillis = report.clockMillis?.let { beliefs.engineClock.at(askedMillis) }
            peers.tell(PeerUpdate.Load(state.entry.id, load, state.allWeights, engineMillis))
        }
    }

    private companion object {
        const val CALL_MILLIS = 400L
    }
}
