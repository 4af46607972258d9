package org.parsleymoor.entry.serving

import org.parsleymoor.core.Clock
import org.parsleymoor.relay.routing.RequestKind

/** Whether this instance is shutting down, and which requests still fit into its grace period. */
internal class ShutdownState(private val graceMillis: Long, private val clock: Clock) {
    private var sinceMillis: Long? = null

    /** Whether shutdown has begun. */
    val begun: Boolean get() = sinceMillis != null

    /** Starts the grace period. */
    fun begin() {
        sinceMillis = clock.nowMillis()
    }

    /** Whether a request of [kind] that arrives now would probably be aborted by the end of the process. */
    fun tooLateFor(kind: RequestKind): Boolean {
        val elapsed = sinceMillis?.let { clock.nowMillis() - it } ?: return false
        val share = if (kind == RequestKind.STREAM) STREAM_SHARE else CALL_SHARE
        return elapsed > graceMillis * share
    }

    private companion object {
        // A stream for a long prompt takes up to four seconds under load, half of an eight-second grace period.
        const val STREAM_SHARE = 0.3
        const val CALL_SHARE = 0.75
    }
}
