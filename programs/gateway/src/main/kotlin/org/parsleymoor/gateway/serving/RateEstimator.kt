package org.parsleymoor.gateway.serving

/**
 * A rate smoothed over observations, [start] a second before the first. Without an observation for [forgetMillis] it is
 * [start] again, so that a source that was slow once is tried again. Not safe for use from several threads.
 */
internal class RateEstimator(private val start: Double, private val forgetMillis: Long = Long.MAX_VALUE) {
    private var rate = start
    private var observedMillis: Long? = null

    /** Returns the rate at [nowMillis], a second. */
    fun perSecond(nowMillis: Long): Double {
        val observed = observedMillis
        return if (observed == null || nowMillis - observed > forgetMillis) start else rate
    }

    /** Takes in that [amount] took [millis] until [nowMillis]; an empty observation says nothing. */
    fun observe(amount: Long, millis: Long, nowMillis: Long) {
        if (amount <= 0) return
        val seen = amount * MILLIS_PER_SECOND / maxOf(1, millis)
        val known = perSecond(nowMillis)
        rate = known + SMOOTHING * (seen - known)
        observedMillis = nowMillis
    }

    /** Takes in at [nowMillis] that [amount] was not complete after [millis], and expects it to take far longer. */
    fun observeTimeout(amount: Long, millis: Long, nowMillis: Long) {
        rate = minOf(perSecond(nowMillis), amount * MILLIS_PER_SECOND / (TIMEOUT_FACTOR * maxOf(1, millis)))
        observedMillis = nowMillis
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
        const val SMOOTHING = 0.2

        // An import may take as long as recomputing; a placement that prices prefill double would choose it again at
        // twice that time.
        const val TIMEOUT_FACTOR = 4
    }
}
