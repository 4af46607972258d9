package org.parsleymoor.placement

import kotlin.math.exp
import kotlin.math.ln

/** Intervals between sessions of one organisation's blocks, apart for blocks that were in one session so far. */
internal class IntervalHistogram {
    private val first = Intervals()
    private val later = Intervals()

    fun sessionStarted(isFirst: Boolean): Unit = of(isFirst).sessionStarted()

    fun returned(intervalMillis: Long, afterFirst: Boolean): Unit = of(afterFirst).returned(intervalMillis)

    /** Returns the probability and expected remaining time for a block that has been idle for [idleMillis]. */
    fun returnAfter(idleMillis: Long, afterFirst: Boolean): ExpectedReturn = of(afterFirst).returnAfter(idleMillis)

    private fun of(isFirst: Boolean): Intervals = if (isFirst) first else later

    private class Intervals {
        private val counts = LongArray(BUCKETS)
        private var sessions = 0L
        private var changes = 0
        private val probabilities = DoubleArray(BUCKETS) { HALF }
        private val meanIntervals = DoubleArray(BUCKETS) { UNKNOWN_MILLIS }

        fun sessionStarted() {
            sessions++
            changes++
        }

        fun returned(intervalMillis: Long) {
            counts[bucket(intervalMillis)]++
            changes++
        }

        fun returnAfter(idleMillis: Long): ExpectedReturn {
            if (changes * REFRESH_SHARE > sessions) refresh()
            val from = bucket(idleMillis)
            return ExpectedReturn(probabilities[from], maxOf(0.0, meanIntervals[from] - idleMillis).toLong())
        }

        /** Sums from the longest interval down: what is left above a bucket has not returned within it. */
        private fun refresh() {
            changes = 0
            var returns = 0L
            var weighted = 0.0
            val all = counts.sum()
            for (index in counts.indices.reversed()) {
                returns += counts[index]
                weighted += counts[index] * middle(index)
                val open = maxOf(returns, sessions - (all - returns))
                probabilities[index] = (returns + PRIOR_RETURNS) / (open + PRIOR_SESSIONS)
                meanIntervals[index] = if (returns > 0) weighted / returns else UNKNOWN_MILLIS
            }
        }
    }

    private companion object {
        const val BUCKETS = 40
        const val SMALLEST_MILLIS = 300_000.0
        const val HALF = 0.5
        const val PRIOR_RETURNS = 1.0
        const val PRIOR_SESSIONS = 2.0
        const val UNKNOWN_MILLIS = 43_200_000.0

        /** Sums are renewed after a change of one in a hundred sessions, since they are read far more often. */
        const val REFRESH_SHARE = 100L

        /** Each bucket is about 17% wider than the one before, so 40 of them reach from 5 minutes to 2 days. */
        const val STEP = 0.16

        fun bucket(millis: Long): Int {
            if (millis <= SMALLEST_MILLIS) return 0
            return minOf(BUCKETS - 1, (ln(millis / SMALLEST_MILLIS) / STEP).toInt())
        }

        fun middle(bucket: Int): Double = SMALLEST_MILLIS * exp((bucket + HALF) * STEP)
    }
}
