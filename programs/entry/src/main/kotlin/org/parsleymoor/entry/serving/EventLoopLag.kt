package org.parsleymoor.entry.serving

import org.parsleymoor.core.Clock

/**
 * Measures the lag of the event loop by the lateness of a periodic wake-up. On an instance that is short of CPU time, a
 * request waits about that long before it is read and again in each later turn of the event loop.
 */
internal class EventLoopLag(private val clock: Clock) {
    private var dueMillis: Long? = null
    private var lastLateMillis = 0L
    private var punctualWakeUps = 0

    /** Current lag in milliseconds, including the lateness so far of an overdue wake-up. */
    val millis: Long get() = maxOf(lastLateMillis, dueMillis?.let { clock.nowMillis() - it } ?: 0)

    /**
     * Whether the event loop has once been on time for several wake-ups in a row. A JVM that has just started still
     * loads and compiles code; on a slow machine its first requests would wait for seconds.
     */
    val settled: Boolean get() = punctualWakeUps >= PUNCTUAL_WAKE_UPS

    /** Records that the next wake-up is due at [atMillis]. */
    fun expect(atMillis: Long) {
        dueMillis = atMillis
    }

    /** Records that the expected wake-up has happened. */
    fun wokeUp() {
        lastLateMillis = dueMillis?.let { clock.nowMillis() - it }?.coerceAtLeast(0) ?: 0
        dueMillis = null
        if (!settled) punctualWakeUps = if (lastLateMillis < PUNCTUAL_MILLIS) punctualWakeUps + 1 else 0
    }

    /** Whether the lag is too long to serve a caller that waits [waitMillis] for the first byte of the response. */
    fun wouldExceed(waitMillis: Long): Boolean = millis >= MIN_RELEVANT_MILLIS && millis * EVENT_LOOP_TURNS > waitMillis

    private companion object {
        // A request is read, placed, sent and answered in four separate turns of the event loop.
        const val EVENT_LOOP_TURNS = 4

        // Garbage collection pauses and CPU throttling of about 100 ms stay below this.
        const val MIN_RELEVANT_MILLIS = 250L
        const val PUNCTUAL_MILLIS = 150L

        // Between 300 ms and 500 ms, depending on the tick period of the control loops.
        const val PUNCTUAL_WAKE_UPS = 5
    }
}
