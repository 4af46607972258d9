package org.parsleymoor.relay.speed

import kotlin.math.abs
import kotlin.math.ln
import kotlin.math.pow

/** What [count] answers of an endpoint say about its speed: the [sum] of the logarithms of their deviations. */
public data class SpeedEvidence(public val sum: Double, public val count: Double)

/**
 * What the times of an endpoint's answers say about its speed. Run times vary by a factor of two from request to
 * request, so an endpoint counts as usual until there is evidence against that; evidence fades, so that an endpoint
 * that is avoided because it was slow is tried again. Not thread-safe.
 */
internal class LearnedSpeed {
    private var sum = 0.0
    private var count = 0.0
    private var recordedMillis = 0L
    private var measuredMillis = Long.MIN_VALUE / 2
    private var untold = SpeedEvidence(0.0, 0.0)

    /**
     * Records that work took e^[deviation] times as long as usual. Of answers that come together only the first counts:
     * after an endpoint has stood still, all of them are late for the same reason.
     */
    fun record(deviation: Double, nowMillis: Long) {
        if (nowMillis - measuredMillis < MIN_GAP_MILLIS) return
        measuredMillis = nowMillis
        val bounded = deviation.coerceIn(-MAX_DEVIATION, MAX_DEVIATION)
        val kept = remaining(nowMillis)
        untold = SpeedEvidence(untold.sum * kept + bounded, untold.count * kept + 1)
        add(bounded, 1.0, nowMillis)
    }

    /** Adds what another instance has recorded. */
    fun learn(evidence: SpeedEvidence, nowMillis: Long) {
        if (!(evidence.count > 0 && evidence.count <= MAX_COUNT && evidence.sum.isFinite())) return
        val bound = evidence.count * MAX_DEVIATION
        add(evidence.sum.coerceIn(-bound, bound), evidence.count, nowMillis)
    }

    /**
     * Returns what has been recorded here, if it shows that the endpoint is not of the usual speed, and other instances
     * have not been told; otherwise null.
     */
    fun takeUntold(): SpeedEvidence? {
        val isClear = abs(untold.sum) >= TOLD_SUM && abs(untold.sum) >= TOLD_MEAN * untold.count
        return if (isClear) untold.also { untold = SpeedEvidence(0.0, 0.0) } else null
    }

    private fun add(newSum: Double, newCount: Double, nowMillis: Long) {
        val kept = remaining(nowMillis) * minOf(1.0, (MAX_COUNT - newCount) / count.coerceAtLeast(1.0))
        sum = sum * kept + newSum
        count = count * kept + newCount
        recordedMillis = nowMillis
    }

    /** The logarithm of the factor by which work takes longer than usual; 0 without enough evidence. */
    fun lasting(nowMillis: Long): Double {
        val remaining = remaining(nowMillis)
        val estimate = sum * remaining / (count * remaining + USUAL_COUNT)
        return if (abs(estimate) < UNMEASURABLE) 0.0 else estimate
    }

    private fun remaining(nowMillis: Long): Double =
        HALF.pow((nowMillis - recordedMillis).coerceAtLeast(0) / HALF_LIFE_MILLIS)

    private companion object {
        const val HALF = 0.5
        const val HALF_LIFE_MILLIS = 15_000.0
        const val MAX_COUNT = 40.0
        const val MIN_GAP_MILLIS = 100L

        // The evidence weighs against this many answers that took as long as usual, so that a few long ones among them
        // do not make an endpoint look slow.
        const val USUAL_COUNT = 8.0
        val UNMEASURABLE = ln(1.4)

        // Four answers that took three times as long. An instance that sees few answers cannot tell much by itself, and
        // all instances together must not tell each other of every answer.
        const val TOLD_SUM = 4.0
        const val TOLD_MEAN = 0.6

        // One request that hangs is no evidence of speed.
        val MAX_DEVIATION = ln(4.0)
    }
}
