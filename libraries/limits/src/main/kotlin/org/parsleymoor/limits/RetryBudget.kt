package org.parsleymoor.limits

/**
 * Bounds retries to [share] of the first attempts of the last [windowMillis], so that retries cannot multiply an
 * overload. [minimum] retries per window are allowed at any traffic, or a single failure at low traffic would never be
 * retried. Not safe for use from several threads.
 */
public class RetryBudget(
    private val share: Double = 0.1,
    private val windowMillis: Long = 10_000,
    private val minimum: Int = 3,
) {
    private val firstAttempts = SlidingWindowCounter(windowMillis)
    private val retries = SlidingWindowCounter(windowMillis)

    init {
        require(share in 0.0..1.0) { "expected a share between 0 and 1, got $share" }
    }

    /** Counts a first attempt at [nowMillis]. */
    public fun firstAttempt(nowMillis: Long) {
        firstAttempts.add(nowMillis)
    }

    /** Takes one retry from the budget at [nowMillis]; returns false, and takes nothing, when it is spent. */
    public fun tryRetry(nowMillis: Long): Boolean {
        val allowed = minimum + share * firstAttempts.count(nowMillis)
        if (retries.count(nowMillis) + 1 > allowed) return false
        retries.add(nowMillis)
        return true
    }
}
