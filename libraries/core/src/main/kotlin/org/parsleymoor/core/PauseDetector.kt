package org.parsleymoor.core

import kotlin.math.abs

/**
 * Detects that this process was suspended or that the time of day was changed. [clock] shows neither, because the
 * monotonic timer of a suspended machine stands still while time goes on elsewhere. [wallMillis] reads the time of day.
 */
public class PauseDetector(
    public val clock: Clock,
    private val wallMillis: () -> Long = System::currentTimeMillis,
) {
    private var offsetMillis = currentOffset()

    /** Returns whether the two clocks have diverged by more than [TOLERANCE_MILLIS] since the last call. */
    public fun pausedSinceLastCall(): Boolean {
        val previous = offsetMillis
        offsetMillis = currentOffset()
        return abs(offsetMillis - previous) > TOLERANCE_MILLIS
    }

    private fun currentOffset(): Long = wallMillis() - clock.nowMillis()

    private companion object {
        // Exceeds the drift between the two clocks from one call to the next.
        const val TOLERANCE_MILLIS = 100L
    }
}
