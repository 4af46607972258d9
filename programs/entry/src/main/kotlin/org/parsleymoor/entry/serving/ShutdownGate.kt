package org.parsleymoor.entry.serving

import org.parsleymoor.core.Clock

/** Applies [state] to the requests in delivery. Confined to the event loop. */
internal class ShutdownGate(val state: ShutdownState, private val clock: Clock) {
    /** How long requests usually take. */
    val durations = RouteDurations()

    /** Ends the attempts that are in flight when the last responses are due. */
    val cutoff = AnswerCutoff()

    /** Whether [pending] may be sent to an endpoint now; to [target] if it has been chosen. */
    fun covers(pending: PendingRequest, target: Target? = null): Boolean {
        val usualMillis = durations.usualMillis(pending.route)
        val expectedMillis = maxOf(usualMillis, target?.estimateMillis?.toLong() ?: 0)
        return state.covers(pending.request.receivedMillis, pending.deadlineMillis, expectedMillis)
    }

    /** Records that [pending] has been answered. */
    fun recordAnswer(pending: PendingRequest) {
        durations.record(pending.route, clock.nowMillis() - pending.request.receivedMillis)
    }
}
