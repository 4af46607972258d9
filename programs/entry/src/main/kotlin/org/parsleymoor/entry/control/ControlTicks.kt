package org.parsleymoor.entry.control

import kotlinx.coroutines.delay
import org.parsleymoor.core.Clock

/**
 * Wakes the control loops of an instance together, because each wake-up of an idle process costs processor time. The
 * ticks are [periodMillis] apart; [offsetMillis] differs between instances, which would otherwise all send at once.
 */
internal class ControlTicks(
    private val clock: Clock,
    private val offsetMillis: Long,
    private val periodMillis: () -> Long,
) {
    /** Suspends until the next tick, or the one that is [count] ticks ahead. */
    suspend fun await(count: Int = 1) {
        val period = periodMillis()
        val sinceTick = Math.floorMod(clock.nowMillis() - offsetMillis, period)
        delay(period * count - sinceTick)
    }
}
