package org.parsleymoor.relay.limits

/** Repeats of a service's requests in [windowMillis] for all instances: [share] of the requests, and [extra]. */
public data class RetryLimit(public val share: Double, public val extra: Double, public val windowMillis: Long)

/**
 * This instance's part of a retry budget that all instances share. It spends [share][RetryLimit.share] of the requests
 * that it has received itself and an equal part of the extra. Not safe for use from several threads.
 */
public class SharedRetryBudget(private val bound: RetryLimit) {
    private val services = HashMap<String, Counts>()

    /** Counts a request of a caller for [service]. */
    public fun recordRequest(service: String, nowMillis: Long) {
        counts(service).requests.add(nowMillis)
    }

    /** Takes one repeat from the budget of [service]; returns false, and takes nothing, when it is spent. */
    public fun tryTakeRetry(service: String, instances: Int, nowMillis: Long): Boolean {
        val counts = counts(service)
        val extra = bound.extra / maxOf(1, instances)
        val allowed = CERTAIN_SHARE * (extra + bound.share * counts.requests.count(nowMillis))
        if (counts.repeats.count(nowMillis) + 1 > allowed) return false
        counts.repeats.add(nowMillis)
        return true
    }

    private fun counts(service: String): Counts =
        services.getOrPut(service) {
            Counts(SlidingWindowCounter(bound.windowMillis), SlidingWindowCounter(bound.windowMillis))
        }

    private class Counts(val requests: SlidingWindowCounter, val repeats: SlidingWindowCounter)

    private companion object {
        // Leaves room for an instance that another does not know of yet.
        const val CERTAIN_SHARE = 0.8
    }
}

/** Times of events in the last [windowMillis]. */
internal class SlidingWindowCounter(private val windowMillis: Long) {
    private val times = ArrayDeque<Long>()

    fun add(nowMillis: Long) {
        times.addLast(nowMillis)
    }

    fun count(nowMillis: Long): Int {
        while (times.isNotEmpty() && nowMillis - times.first() >= windowMillis) times.removeFirst()
        return times.size
    }
}
