package org.parsleymoor.entry.control

import kotlinx.coroutines.delay
import org.parsleymoor.core.Clock
import org.parsleymoor.entry.serving.EventLoopLag

/**
 * Wakes the control loops of an instance together, because each wake-up of an idle process costs processor time. Ticks
 * are [periodMillis] apart; [offsetMillis] differs between instances, so that they do not all send at the same moment.
 */
internal class ControlTicks(
    private val clock: Clock,
    private val offsetMillis: Long,
    private val periodMillis: () -> Long,
) {
    /** Suspends until the tick that is [count] ticks ahead, by default the next one. */
    suspend fun await(count: Int = 1) {
        delay(remainingMillis(count))
    }

    /** Reports to [lag] how late each tick is, until the coroutine is cancelled. */
    suspend fun measure(lag: EventLoopLag) {
        while (true) {
            val remaining = remainingMillis(1)
            lag.expect(clock.nowMillis() + remaining)
            delay(remaining)
            lag.wokeUp()
        }
    }

    private fun remainingMillis(count: Int): Long {
        val period = periodMillis()
        return period * count - Math.floorMod(clock.nowMillis() - offsetMillis, period)
    }
}
