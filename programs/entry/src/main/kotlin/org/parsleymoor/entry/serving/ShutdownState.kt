package org.parsleymoor.entry.serving

import org.parsleymoor.core.Clock
import org.parsleymoor.relay.routing.RequestKind

/** Whether this instance shuts down, and which requests it can still answer before it ends. */
internal class ShutdownState(private val graceMillis: Long, private val clock: Clock) {
    private var sinceMillis: Long? = null

    /** Whether the shutdown has begun. */
    val begun: Boolean get() = sinceMillis != null

    /** Notes that the shutdown begins. */
    fun begin() {
        sinceMillis = clock.nowMillis()
    }

    /** Whether a request of [kind] that arrives now would probably be cut off by the end of the process. */
    fun tooLateFor(kind: RequestKind): Boolean {
        val elapsed = sinceMillis?.let { clock.nowMillis() - it } ?: return false
        val share = if (kind == RequestKind.STREAM) STREAM_SHARE else CALL_SHARE
        return elapsed > graceMillis * share
    }

    private companion object {
        // A stream of a long prompt takes up to four seconds under load, half of the grace period.
        const val STREAM_SHARE = 0.3
        const val CALL_SHARE = 0.75
    }
}
