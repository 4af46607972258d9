package org.parsleymoor.limits

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapError
import org.parsleymoor.core.Failure

/** The reason for refusing a request before any of it was sent. Its outcome is always `not_run`. */
public sealed interface AdmissionRefusal : Failure {
    /** The time in milliseconds after which the caller may retry. */
    public val retryAfterMillis: Long

    /** The queue has reached one of its limits. */
    public data class Full(public val cause: QueueFull, override val retryAfterMillis: Long) : AdmissionRefusal {
        override val message: String get() = cause.message
    }

    /** The expected wait in the queue is longer than the time left until the request's deadline. */
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
 * Decides whether a request may wait in [queue]. The wait is estimated from the queued tokens and the drain rate, which
 * is measured over windows of [rateWindowMillis]. Until a rate has been measured, only the limits of the queue apply.
 */
public class AdmissionControl(private val queue: FairQueue, private val rateWindowMillis: Long = 5_000) {
    private var windowStartMillis = 0L
    private var windowTokens = 0L
    private var drainTokensPerMilli: Double? = null

    /** Queues [item] at [nowMillis], or refuses it if the queue is full or it would miss its deadline. */
    public fun offer(item: QueuedRequest, nowMillis: Long): Result<Unit, AdmissionRefusal> {
        // A window that included idle time would measure a drain rate near zero, and every request would be refused.
        if (queue.size == 0) startWindow(nowMillis)
        val remaining = item.deadlineMillis - nowMillis
        val wait = expectedWaitMillis()
        if (wait > remaining) return Err(AdmissionRefusal.WouldMissDeadline(wait, remaining))
        return queue.offer(item).mapError { AdmissionRefusal.Full(it, maxOf(MINIMUM_RETRY_MILLIS, wait)) }
    }

    /** Removes and returns the next request to place at [nowMillis], or null when none waits. */
    public fun next(nowMillis: Long): QueuedRequest? {
        val item = queue.poll(nowMillis) ?: return null
        recordDrain(item.tokens, nowMillis)
        return item
    }

    /** Removes and returns the requests whose deadline has passed at [nowMillis]; to be called before each [offer]. */
    public fun expire(nowMillis: Long): List<QueuedRequest> = queue.expire(nowMillis)

    /** Returns the estimated wait in milliseconds of a request that arrives now; 0 until a rate has been measured. */
    public fun expectedWaitMillis(): Long {
        val drainRate = drainTokensPerMilli ?: return 0
        return (queue.tokens / drainRate).toLong()
    }

    /** Updates the drain rate; discards a window in which the queue runs empty, as it measures demand, not capacity. */
    private fun recordDrain(tokens: Long, nowMillis: Long) {
        if (queue.size == 0 || nowMillis < windowStartMillis) {
            startWindow(nowMillis)
            return
        }
        windowTokens += tokens
        val elapsed = nowMillis - windowStartMillis
        if (elapsed < rateWindowMillis) return
        val windowRate = windowTokens.toDouble() / elapsed
        drainTokensPerMilli = drainTokensPerMilli?.let { it + SMOOTHING * (windowRate - it) } ?: windowRate
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
