package org.parsleymoor.limits

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapError
import org.parsleymoor.core.Failure

/** Why a request was refused before anything of it was sent; the refusal is always `not_run`. */
public sealed interface AdmissionRefusal : Failure {
    /** When the caller may try again, in milliseconds from now. */
    public val retryAfterMillis: Long

    /** A bound of the queue is reached. */
    public data class Full(public val cause: QueueFull, override val retryAfterMillis: Long) : AdmissionRefusal {
        override val message: String get() = cause.message
    }

    /** The queue in front of the request would take longer than its deadline allows. */
    public data class WouldMissDeadline(
        public val expectedWaitMillis: Long,
        public val remainingMillis: Long,
    ) : AdmissionRefusal {
        override val retryAfterMillis: Long get() = maxOf(1, expectedWaitMillis - remainingMillis)
        override val message: String
            get() = "expected a queue wait under $remainingMillis ms, found $expectedWaitMillis ms"
    }
}

/**
 * Decides whether a request may wait in [queue]. The wait is estimated from the tokens in front of it and the rate at
 * which the queue has drained over the last [rateWindowMillis]; without a measured rate only the bounds refuse.
 */
public class AdmissionControl(private val queue: FairQueue, private val rateWindowMillis: Long = 5_000) {
    private var windowStartMillis = 0L
    private var windowTokens = 0L
    private var tokensPerMilli: Double? = null

    /** Queues [item] at [nowMillis], or refuses it early. */
    public fun offer(item: QueuedRequest, nowMillis: Long): Result<Unit, AdmissionRefusal> {
        // A window that reached back over idle time would measure a rate near zero and refuse everything.
        if (queue.size == 0) startWindow(nowMillis)
        val remaining = item.deadlineMillis - nowMillis
        val wait = expectedWaitMillis()
        if (wait > remaining) return Err(AdmissionRefusal.WouldMissDeadline(wait, remaining))
        return queue.offer(item).mapError { AdmissionRefusal.Full(it, maxOf(MINIMUM_RETRY_MILLIS, wait)) }
    }

    /** Removes and returns the next request to place at [nowMillis], or null. */
    public fun next(nowMillis: Long): QueuedRequest? {
        val item = queue.poll(nowMillis) ?: return null
        drained(item.tokens, nowMillis)
        return item
    }

    /** Removes and returns the requests whose deadline has passed at [nowMillis]; call it before each [offer]. */
    public fun expire(nowMillis: Long): List<QueuedRequest> = queue.expire(nowMillis)

    /** Returns the estimated wait of a request that arrives now, in milliseconds. */
    public fun expectedWaitMillis(): Long {
        val rate = tokensPerMilli ?: return 0
        return (queue.tokens / rate).toLong()
    }

    /** Only windows that end with requests still waiting measure capacity; others measure demand and are skipped. */
    private fun drained(tokens: Long, nowMillis: Long) {
        if (queue.size == 0 || nowMillis < windowStartMillis) {
            startWindow(nowMillis)
            return
        }
        windowTokens += tokens
        val elapsed = nowMillis - windowStartMillis
        if (elapsed < rateWindowMillis) return
        val measured = windowTokens.toDouble() / elapsed
        tokensPerMilli = tokensPerMilli?.let { it + SMOOTHING * (measured - it) } ?: measured
        startWindow(nowMillis)
    }

    private fun startWindow(nowMillis: Long) {
        windowStartMillis = nowMillis
        windowTokens = 0
    }

    private companion object {
        const val MINIMUM_RETRY_MILLIS = 100L
        const val SMOOTHING = 0.3
    }
}
