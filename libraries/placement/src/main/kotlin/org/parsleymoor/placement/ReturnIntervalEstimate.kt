package org.parsleymoor.placement

import kotlin.math.exp
import kotlin.math.ln

/**
 * Estimates the intervals between the sessions of one organisation's blocks. The interval after a block's first session
 * is estimated separately from those after later sessions.
 */
internal class ReturnIntervalEstimate {
    private val first = SurvivalEstimate()
    private val later = SurvivalEstimate()

    fun sessionStarted(isFirst: Boolean, nowMillis: Long): Unit = estimate(isFirst).sessionStarted(nowMillis)

    fun returned(intervalMillis: Long, afterFirst: Boolean): Unit = estimate(afterFirst).returned(intervalMillis)

    /** Returns the probability of return and the expected time until then for a block idle for [idleMillis]. */
    fun returnAfter(idleMillis: Long, afterFirst: Boolean, nowMillis: Long): ExpectedReturn =
        estimate(afterFirst).returnAfter(idleMillis, nowMillis)

    private fun estimate(isFirst: Boolean): SurvivalEstimate = if (isFirst) first else later
}

/**
 * Kaplan-Meier estimate of the interval until the next session. A session counts for an interval only once it is older
 * than that interval; counting younger ones as not returned would make every new context look as if it never returned.
 */
internal class SurvivalEstimate {
    private val returns = LongArray(BUCKETS)

    /** Pairs of an hour and the number of sessions that started in it, oldest first. */
    private val sessionsByHour = ArrayDeque<LongArray>()
    private var olderSessions = 0L
    private var sessions = 0L
    private var changesSinceRefresh = 0
    private var refreshedMillis = Long.MIN_VALUE / 2
    private val returnProbabilities = DoubleArray(BUCKETS) { PRIOR_PROBABILITY }
    private val meanIntervals = DoubleArray(BUCKETS) { PRIOR_MILLIS }

    fun sessionStarted(nowMillis: Long) {
        sessions++
        changesSinceRefresh++
        val hour = nowMillis / HOUR_MILLIS
        val latest = sessionsByHour.lastOrNull()
        if (latest != null && latest[0] == hour) latest[1]++ else sessionsByHour += longArrayOf(hour, 1)
        if (sessionsByHour.size > MAXIMUM_HOURS) olderSessions += sessionsByHour.removeFirst()[1]
    }

    fun returned(intervalMillis: Long) {
        returns[bucket(intervalMillis)]++
        changesSinceRefresh++
    }

    fun returnAfter(idleMillis: Long, nowMillis: Long): ExpectedReturn {
        val changed = changesSinceRefresh * SESSIONS_PER_CHANGE > sessions
        if (changed || nowMillis - refreshedMillis > HOUR_MILLIS) refresh(nowMillis)
        val index = bucket(idleMillis)
        return ExpectedReturn(returnProbabilities[index], maxOf(0.0, meanIntervals[index] - idleMillis).toLong())
    }

    /** Works from the longest interval down: a session returns within a bucket or, if not, in a later one. */
    private fun refresh(nowMillis: Long) {
        changesSinceRefresh = 0
        refreshedMillis = nowMillis
        val atRisk = atRisk(nowMillis)
        // A session that outlasts the longest interval is assumed not to return.
        var probability = 0.0
        var weightedInterval = 0.0
        for (index in returns.indices.reversed()) {
            val hazard = returns[index] / maxOf(PRIOR_SESSIONS, maxOf(atRisk[index], returns[index]).toDouble())
            // With few sessions old enough for this interval, the estimate is blended with the prior.
            val confidence = minOf(1.0, atRisk[index] / PRIOR_SESSIONS)
            val laterProbability = confidence * probability + (1 - confidence) * PRIOR_PROBABILITY
            val laterWeighted = confidence * weightedInterval + (1 - confidence) * PRIOR_PROBABILITY * PRIOR_MILLIS
            weightedInterval = hazard * middle(index) + (1 - hazard) * laterWeighted
            probability = (hazard + (1 - hazard) * laterProbability).coerceIn(MINIMUM_PROBABILITY, 1.0)
            returnProbabilities[index] = probability
            meanIntervals[index] = weightedInterval / probability
        }
    }

    /** Counts per bucket the sessions that are older than its interval and did not return within a shorter one. */
    private fun atRisk(nowMillis: Long): LongArray {
        var returnedEarlier = 0L
        return LongArray(BUCKETS) { index ->
            val latestHour = (nowMillis - upper(index).toLong()) / HOUR_MILLIS
            val started = olderSessions + sessionsByHour.sumOf { if (it[0] <= latestHour) it[1] else 0 }
            maxOf(0, started - returnedEarlier).also { returnedEarlier += returns[index] }
        }
    }

    private companion object {
        const val BUCKETS = 40
        const val FIRST_BUCKET_MILLIS = 300_000.0
        const val BUCKET_MIDDLE = 0.5
        const val PRIOR_PROBABILITY = 0.5
        const val MINIMUM_PROBABILITY = 1e-6
        const val PRIOR_SESSIONS = 10.0
        const val PRIOR_MILLIS = 43_200_000.0
        const val HOUR_MILLIS = 3_600_000L
        const val MAXIMUM_HOURS = 96

        /** One change in this many sessions triggers a refresh; estimates are read far more often than they change. */
        const val SESSIONS_PER_CHANGE = 100L

        /** Logarithmic width of a bucket: each is about 17% wider than the last, so 40 span 5 minutes to 2 days. */
        const val BUCKET_LOG_WIDTH = 0.16

        fun bucket(millis: Long): Int {
            if (millis <= FIRST_BUCKET_MILLIS) return 0
            return minOf(BUCKETS - 1, (ln(millis / FIRST_BUCKET_MILLIS) / BUCKET_LOG_WIDTH).toInt())
        }

        fun middle(bucket: Int): Double = FIRST_BUCKET_MILLIS * exp((bucket + BUCKET_MIDDLE) * BUCKET_LOG_WIDTH)

        fun upper(bucket: Int): Double = FIRST_BUCKET_MILLIS * exp((bucket + 1) * BUCKET_LOG_WIDTH)
    }
}
