package org.parsleymoor.trials

/** The kinds of calls in the traffic of a fault experiment; a [REPEAT] sends a keyed call again. */
internal enum class CallKind { STREAMED, WHOLE, READ, PLAIN, OWN_KEY, TICKET, REPEAT }

/** One call with its times since the epoch; [movedOn] tells that a refused connection sent it to another gateway. */
internal data class CallRecord(
    val kind: CallKind,
    val outcome: Outcome,
    val startedMillis: Long,
    val movedOn: Boolean,
)
