package org.parsleymoor.relay.limits

/**
 * Limit on the retries of a service's requests by all instances together within [windowMillis]: [share] of the
 * requests, plus [extra].
 */
public data class RetryLimit(public val share: Double, public val extra: Double, public val windowMillis: Long)

/**
 * This instance's part of a retry budget that all instances share: [share][RetryLimit.share] of the requests that it
 * has received itself, plus the part of the extra retries that [extraShare] returns for a time, see [InstanceShare].
 * Not thread-safe.
 */
public class SharedRetryBudget(private val limit: RetryLimit, private val extraShare: (Long) -> Double) {
    private val services = HashMap<String, Counts>()

    /** Counts a caller's request for [service]. */
    public fun recordRequest(service: String, nowMillis: Long) {
        counts(service).requests.add(nowMillis)
    }

    /** Takes one retry from the budget of [service]; returns false, and takes nothing, when it is used up. */
    public fun tryTakeRetry(service: String, nowMillis: Long): Boolean {
        val counts = counts(service)
        val extra = limit.extra * extraShare(nowMillis)
        val allowed = USABLE_SHARE * (extra + limit.share * counts.requests.count(nowMillis))
        val left = counts.retries.count(nowMillis) + 1 <= allowed
        if (left) counts.retries.add(nowMillis)
        return left
    }

    private fun counts(service: String): Counts =
        services.getOrPut(service) {
            Counts(SlidingWindowCounter(limit.windowMillis), SlidingWindowCounter(limit.windowMillis))
        }

    private class Counts(val requests: SlidingWindowCounter, val retries: SlidingWindowCounter)

    private companion object {
        // The rest is for requests that take different times to reach their endpoints.
        const val USABLE_SHARE = 0.8
    }
}

/** Counts the events in the last [windowMillis]. */
internal class SlidingWindowCounter(private val windowMillis: Long) {
    private val times = ArrayDeque<Long>()

    /** The number of events that are held. */
    val size: Int get() = times.size

    fun add(nowMillis: Long) {
        forgetOld(nowMillis)
        times.addLast(nowMillis)
    }

    fun count(nowMillis: Long): Int {
        forgetOld(nowMillis)
        return times.size
    }

    private fun forgetOld(nowMillis: Long) {
        while (times.isNotEmpty() && nowMillis - times.first() >= windowMillis) times.removeFirst()
    }
}
