package org.parsleymoor.gateway.serving

/**
 * Estimates a rate per second by exponential smoothing, beginning with [initialRate]. After [expiryMillis] without an
 * observation the estimate is [initialRate] again, so that a source that was slow once is tried again. Not thread-safe.
 */
internal class RateEstimator(private val initialRate: Double, private val expiryMillis: Long = Long.MAX_VALUE) {
    private var rate = initialRate
    private var lastObservedMillis: Long? = null

    /** Returns the estimated rate per second at [nowMillis]. */
    fun perSecond(nowMillis: Long): Double {
        val lastMillis = lastObservedMillis
        return if (lastMillis == null || nowMillis - lastMillis > expiryMillis) initialRate else rate
    }

    /** Records that [amount] took [millis] until [nowMillis]; ignores an empty amount. */
    fun observe(amount: Long, millis: Long, nowMillis: Long) {
        if (amount <= 0) return
        val sample = amount * MILLIS_PER_SECOND / maxOf(1, millis)
        val current = perSecond(nowMillis)
        rate = current + SMOOTHING * (sample - current)
        lastObservedMillis = nowMillis
    }

    /** Records at [nowMillis] that [amount] was incomplete after [millis], and assumes a multiple of that time. */
    fun observeTimeout(amount: Long, millis: Long, nowMillis: Long) {
        rate = minOf(perSecond(nowMillis), amount * MILLIS_PER_SECOND / (TIMEOUT_FACTOR * maxOf(1, millis)))
        lastObservedMillis = nowMillis
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
        const val SMOOTHING = 0.2

        // An import may take as long as recomputing its blocks. A placement that weighs prefill time double would
        // choose the same source again if the estimate were only twice that time.
        const val TIMEOUT_FACTOR = 4
    }
}
