package org.parsleymoor.entry.control

import kotlinx.serialization.json.put
import org.parsleymoor.entry.EntryMetrics
import org.parsleymoor.entry.log.StructuredLog
import org.parsleymoor.relay.release.ReleaseAction
import org.parsleymoor.relay.release.ReleaseDecision
import org.parsleymoor.relay.release.ReleaseEnd
import org.parsleymoor.relay.release.ReleaseOrder

/** Logs and counts what becomes of orders to move traffic to a release. */
internal class ReleaseLog(private val log: StructuredLog, private val metrics: EntryMetrics) {
    private val logged = HashMap<ReleaseOrder, Logged>()

    private class Logged(val decision: ReleaseDecision, val atMillis: Long)

    /** Logs how [order] ended. */
    fun ended(order: ReleaseOrder, end: ReleaseEnd) {
        metrics.recordReleaseEnd(end.state)
        log.write("release.ended", always = true) {
            put("service", order.service)
            put("release", order.target)
            put("state", end.state.name.lowercase())
            put("reason", end.reason)
        }
    }

    /** Logs that [action] was done, or the [failure] with which it was not. */
    fun written(action: ReleaseAction.Write, failure: String?) {
        log.write("release.written", always = true) {
            put("service", action.order.service)
            put("release", action.order.target)
            put("state", action.status.state.name.lowercase())
            put("reason", action.reason)
            put("revision", action.revision)
            failure?.let { put("failure", it) }
        }
    }

    /** Logs [decisions] that are new; what an order waits for contains counts, and is logged once a second. */
    fun decided(decisions: Map<ReleaseOrder, ReleaseDecision>, nowMillis: Long) {
        logged.keys.retainAll(decisions.keys)
        decisions.filter { (order, decision) -> isDue(logged[order], decision, nowMillis) }
            .forEach { (order, decision) ->
                logged[order] = Logged(decision, nowMillis)
                write(order, decision)
            }
    }

    private fun isDue(last: Logged?, decision: ReleaseDecision, nowMillis: Long): Boolean =
        last?.decision != decision &&
            (decision !is ReleaseDecision.Hold || last == null || nowMillis - last.atMillis >= HOLD_MILLIS)

    private fun write(order: ReleaseOrder, decision: ReleaseDecision) {
        log.write("release.decided", always = decision !is ReleaseDecision.Hold) {
            put("service", order.service)
            put("release", order.target)
            when (decision) {
                is ReleaseDecision.Hold -> put("hold", decision.reason)
                is ReleaseDecision.Move -> {
                    put("stage", decision.stage.name.lowercase())
                    put("share", decision.share)
                }
                is ReleaseDecision.End -> {
                    put("state", decision.state.name.lowercase())
                    put("reason", decision.reason)
                }
            }
        }
    }

    private companion object {
        const val HOLD_MILLIS = 1_000L
    }
}
