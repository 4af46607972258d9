package org.parsleymoor.placement

import kotlin.math.exp
import kotlin.math.ln

/** Intervals between sessions of one organisation's blocks, apart for blocks that were in one session so far. */
internal class ReturnIntervalEstimate {
    private val first = SurvivalEstimate()
    private val later = SurvivalEstimate()

    fun sessionStarted(isFirst: Boolean, nowMillis: Long): Unit = of(isFirst).sessionStarted(nowMillis)

    fun returned(intervalMillis: Long, afterFirst: Boolean): Unit = of(afterFirst).returned(intervalMillis)

    /** Returns the probability and expected remaining time for a block that has been idle for [idleMillis]. */
    fun returnAfter(idleMillis: Long, afterFirst: Boolean, nowMillis: Long): ExpectedReturn =
        of(afterFirst).returnAfter(idleMillis, nowMillis)

    private fun of(isFirst: Boolean): SurvivalEstimate = if (isFirst) first else later
}

/**
 * Kaplan-Meier estimate of the interval until the next session. Sessions that are younger than an interval say nothing
 * about it; counting them as not returned would make every new context look as if it never came back.
 */
internal class SurvivalEstimate {
    private val returns = LongArray(BUCKETS)
    private val sessionsByHour = ArrayDeque<LongArray>()
    private var olderSessions = 0L
    private var sessions = 0L
    private var changes = 0
    private var refreshedMillis = Long.MIN_VALUE / 2
    private val probabilities = DoubleArray(BUCKETS) { PRIOR }
    private val meanIntervals = DoubleArray(BUCKETS) { UNKNOWN_MILLIS }

    fun sessionStarted(nowMillis: Long) {
        sessions++
        changes++
        val hour = nowMillis / HOUR_MILLIS
        val latest = sessionsByHour.lastOrNull()
        if (latest != null && latest[0] == hour) latest[1]++ else sessionsByHour += longArrayOf(hour, 1)
        if (sessionsByHour.size > MAXIMUM_HOURS) olderSessions += sessionsByHour.removeFirst()[1]
    }

    fun returned(intervalMillis: Long) {
        returns[bucket(intervalMillis)]++
        changes++
    }

    fun returnAfter(idleMillis: Long, nowMillis: Long): ExpectedReturn {
        val changed = changes * REFRESH_SHARE > sessions
        if (changed || nowMillis - refreshedMillis > HOUR_MILLIS) refresh(nowMillis)
        val from = bucket(idleMillis)
        return ExpectedReturn(probabilities[from], maxOf(0.0, meanIntervals[from] - idleMillis).toLong())
    }

    /** From the longest interval down: a session returns in this bucket, or later if it survives it. */
    private fun refresh(nowMillis: Long) {
        changes = 0
        refreshedMillis = nowMillis
        val atRisk = atRisk(nowMillis)
        // A session that outlasts the longest interval is taken not to return.
        var probability = 0.0
        var weighted = 0.0
        for (index in returns.indices.reversed()) {
            val hazard = returns[index] / maxOf(PRIOR_SESSIONS, maxOf(atRisk[index], returns[index]).toDouble())
            // Where few sessions are old enough to tell, the estimate is mixed with the prior.
            val known = minOf(1.0, atRisk[index] / PRIOR_SESSIONS)
            val tail = known * probability + (1 - known) * PRIOR
            val weightedTail = known * weighted + (1 - known) * PRIOR * UNKNOWN_MILLIS
            weighted = hazard * middle(index) + (1 - hazard) * weightedTail
            probability = (hazard + (1 - hazard) * tail).coerceIn(SMALLEST, 1.0)
            probabilities[index] = probability
            meanIntervals[index] = weighted / probability
        }
    }

    /** Sessions that began at least an interval ago and had not returned within a shorter one. */
    private fun atRisk(nowMillis: Long): LongArray {
        var earlier = 0L
        return LongArray(BUCKETS) { index ->
            val latestHour = (nowMillis - upper(index).toLong()) / HOUR_MILLIS
            val started = olderSessions + sessionsByHour.sumOf { if (it[0] <= latestHour) it[1] else 0 }
            maxOf(0, started - earlier).also { earlier += returns[index] }
        }
    }

    private companion object {
        const val BUCKETS = 40
        const val SMALLEST_MILLIS = 300_000.0
        const val HALF = 0.5
        const val PRIOR = 0.5
        const val SMALLEST = 1e-6
        const val PRIOR_SESSIONS = 10.0
        const val UNKNOWN_MILLIS = 43_200_000.0
        const val HOUR_MILLIS = 3_600_000L
        const val MAXIMUM_HOURS = 96

        /** Sums are renewed after a change of one in a hundred sessions, since they are read far more often. */
        const val REFRESH_SHARE = 100L

        /** Each bucket is about 17% wider than the one before, so 40 of them reach from 5 minutes to 2 days. */
        const val STEP = 0.16

        fun bucket(millis: Long): Int {
            if (millis <= SMALLEST_MILLIS) return 0
            return minOf(BUCKETS - 1, (ln(millis / SMALLEST_MILLIS) / STEP).toInt())
        }

        fun middle(bucket: Int): Double = SMALLEST_MILLIS * exp((bucket + HALF) * STEP)

        fun upper(bucket: Int): Double = SMALLEST_MILLIS * exp((bucket + 1) * STEP)
    }
}
