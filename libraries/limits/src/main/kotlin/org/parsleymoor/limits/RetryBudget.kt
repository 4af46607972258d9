package org.parsleymoor.limits

/**
 * Limits retries to [share] of the first attempts in the last [windowMillis], so that retries cannot amplify an
 * overload. Allows [extra] retries per window on top, because otherwise a single failure at low traffic would never be
 * retried. Not thread-safe.
 */
public class RetryBudget(
    private val share: Double = 0.1,
    private val windowMillis: Long = 10_000,
    private val extra: Int = 3,
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

    /** Counts a retry at [nowMillis] if the budget allows it; returns whether it does. */
    public fun tryRetry(nowMillis: Long): Boolean {
        val allowed = extra + share * firstAttempts.count(nowMillis)
        if (retries.count(nowMillis) + 1 > allowed) return false
        retries.add(nowMillis)
        return true
    }
}
