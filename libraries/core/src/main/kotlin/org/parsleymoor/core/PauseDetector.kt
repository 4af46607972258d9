package org.parsleymoor.core

import kotlin.math.abs

/**
 * Notices that this process was suspended or that the time of day was changed, which [clock] does not show: a suspended
 * machine does not count on its monotonic timer, while others go on. [wallMillis] reads the time of day.
 */
public class PauseDetector(
    public val clock: Clock,
    private val wallMillis: () -> Long = System::currentTimeMillis,
) {
    private var aheadMillis = difference()

    /** Returns whether the two clocks have moved apart by more than [TOLERANCE_MILLIS] since the last call. */
    public fun pausedSinceLastCall(): Boolean {
        val before = aheadMillis
        aheadMillis = difference()
        return abs(aheadMillis - before) > TOLERANCE_MILLIS
    }

    private fun difference(): Long = wallMillis() - clock.nowMillis()

    private companion object {
        // Clocks that run at slightly different rates move apart by less than this between two calls.
        const val TOLERANCE_MILLIS = 100L
    }
}
