package org.parsleymoor.entry.serving

import org.parsleymoor.core.Clock

/** Whether this instance is shutting down, and which requests it can still answer before the process exits. */
internal class ShutdownState(private val graceMillis: Long, private val clock: Clock) {
    private val marginMillis = (graceMillis / EXIT_MARGIN_PARTS).coerceAtMost(MAX_EXIT_MARGIN_MILLIS)
    private var sinceMillis: Long? = null

    /** Whether shutdown has begun. */
    val begun: Boolean get() = sinceMillis != null

    /** When the process exits at the latest, or null before shutdown. */
    val exitMillis: Long? get() = sinceMillis?.let { it + graceMillis - marginMillis }

    /** When the last response is written, or null before shutdown. */
    val lastAnswerMillis: Long? get() = exitMillis?.let { it - marginMillis / 2 }

    /** Starts the grace period; later calls have no effect. */
    fun begin() {
        sinceMillis = sinceMillis ?: clock.nowMillis()
    }

    /**
     * Whether a request may be sent to an endpoint now. One received at [receivedMillis] whose deadline is after the
     * last response has to have arrived early in the grace period and to be expected to end within [expectedMillis].
     */
    fun covers(receivedMillis: Long, deadlineMillis: Long, expectedMillis: Long): Boolean {
        val startMillis = sinceMillis
        val lastMillis = lastAnswerMillis
        if (startMillis == null || lastMillis == null) return true
        val nowMillis = clock.nowMillis()
        val expectedInTime = receivedMillis <= startMillis + EARLY_MILLIS && nowMillis + expectedMillis <= lastMillis
        return nowMillis < lastMillis && (deadlineMillis <= lastMillis || expectedInTime)
    }

    private companion object {
        // The last responses and the exit both fall into the last sixth of the grace period, in which callers accept
        // that a long request is cut off.
        const val EXIT_MARGIN_PARTS = 16
        const val MAX_EXIT_MARGIN_MILLIS = 500L

        // Callers accept that a request sent within three seconds of the signal outlasts the grace period.
        const val EARLY_MILLIS = 2_500L
    }
}
