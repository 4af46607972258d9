package org.parsleymoor.entry.serving

import org.parsleymoor.core.Clock

/**
 * How far the event loop of this instance is behind, from the lateness of a periodic wake-up. What arrives at an
 * instance that is short of processor time waits that long before it is read, and again at each further step.
 */
internal class EventLoopLag(private val clock: Clock) {
    private var dueMillis: Long? = null
    private var lastMillis = 0L
    private var calmWakeUps = 0

    /** How far the event loop is behind, in milliseconds; a wake-up that is overdue counts already. */
    val millis: Long get() = maxOf(lastMillis, dueMillis?.let { clock.nowMillis() - it } ?: 0)

    /**
     * Whether the event loop has kept up for a while since the start. A virtual machine that has just started loads and
     * compiles its code while it serves; on a slow machine its first requests would wait for seconds.
     */
    val settled: Boolean get() = calmWakeUps >= CALM_WAKE_UPS

    /** Notes that the next wake-up is due at [atMillis]. */
    fun expect(atMillis: Long) {
        dueMillis = atMillis
    }

    /** Notes the wake-up that was due. */
    fun wokeUp() {
        lastMillis = dueMillis?.let { clock.nowMillis() - it }?.coerceAtLeast(0) ?: 0
        dueMillis = null
        if (!settled) calmWakeUps = if (lastMillis < CALM_MILLIS) calmWakeUps + 1 else 0
    }

    /** Whether a request whose caller waits [waitMillis] for the answer to begin cannot be answered in time. */
    fun wouldExceed(waitMillis: Long): Boolean = millis >= LEAST_MILLIS && millis * STEPS > waitMillis

    private companion object {
        // A request is read, placed, sent and answered, each in another turn of the event loop.
        const val STEPS = 4

        // Garbage collections and a share of a core that is used up for a tenth of a second stay below this.
        const val LEAST_MILLIS = 250L
        const val CALM_MILLIS = 150L

        // Half a second at the shorter of the two periods of the control loops.
        const val CALM_WAKE_UPS = 5
    }
}
