package org.parsleymoor.entry.control

import kotlinx.coroutines.launch
import kotlinx.serialization.json.put
import org.parsleymoor.core.EndpointId
import org.parsleymoor.entry.protocol.EngineReport
import org.parsleymoor.relay.exchange.EnginePollSchedule
import org.parsleymoor.relay.exchange.PeerUpdate
import org.parsleymoor.relay.fleet.EndpointState
import org.parsleymoor.relay.fleet.EngineLoad
import org.parsleymoor.relay.fleet.isPaused
import org.parsleymoor.relay.fleet.recordUnansweredPoll

/**
 * Polls engines for their load on the schedule of [EnginePollSchedule] and publishes the reports to peers, so that not
 * every instance has to poll every engine.
 */
internal class EngineLoadLoop(private val context: ControlContext, private val peers: Peers) {
    private val deployment = context.deployment
    private val engines = context.engines
    private val scope = context.scope
    private val log = context.log
    private val clock = context.clock
    private val schedule = EnginePollSchedule(context.membership.roster)
    private val polling = HashSet<EndpointId>()

    /** Polls until the coroutine is cancelled. */
    suspend fun run() {
        while (true) {
            val nowMillis = clock.nowMillis()
            deployment.endpoints.all.filter { isDue(it, nowMillis) }.forEach { state ->
                polling += state.entry.id
                scope.launch {
                    try {
                        poll(state)
                    } finally {
                        polling -= state.entry.id
                    }
                }
            }
            context.ticks.await()
        }
    }

    private fun isDue(state: EndpointState, nowMillis: Long): Boolean =
        state.entry.weights.isNotEmpty() && state.entry.id !in polling && schedule.isDue(state, nowMillis) &&
            !deployment.endpoints.isLeaving(state.incarnation) &&
            !deployment.endpoints.isPaused(state.incarnation, nowMillis)

    private suspend fun poll(state: EndpointState) {
        val requestedMillis = clock.nowMillis()
        val report = context.callAndDecode(
            state.entry.address,
            engines.report(),
            TIMEOUT_MILLIS,
            engines::report
        ) { reason ->
            log.write("load.unknown") {
                put("endpoint", state.entry.id.value)
                put("reason", reason)
            }
        }
        if (report == null) {
            state.recordUnansweredPoll(requestedMillis)
            peers.publish(PeerUpdate.Unresponsive(state.entry.id, requestedMillis))
        } else {
            applyReport(state, report, requestedMillis)
        }
    }

    private fun applyReport(state: EndpointState, report: EngineReport, requestedMillis: Long) {
        report.weights.forEach { (model, version) -> state.learnWeights(model, version) }
        report.clockMillis?.let { deployment.engineClock.updateFromOwnPoll(it, requestedMillis, clock.nowMillis()) }
        val load = EngineLoad(
            running = report.running,
            waiting = report.waiting,
            prefilling = (report.running - report.decoding).coerceAtLeast(0),
            memoryUsed = report.memoryUsed,
            memoryTotal = report.memoryTotal,
            atMillis = requestedMillis,
            pacePercent = state.load?.takeIf { it.atMillis >= requestedMillis }?.pacePercent,
        )
        if (state.learnLoad(load)) {
            val engineMillis = report.clockMillis?.let { deployment.engineClock.at(requestedMillis) }
            peers.publish(PeerUpdate.Load(state.entry.id, load, state.allWeights, engineMillis))
        }
    }

    private companion object {
        const val TIMEOUT_MILLIS = 400L
    }
}
