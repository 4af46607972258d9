package org.parsleymoor.gateway.serving

import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.parsleymoor.core.Clock
import org.parsleymoor.core.Failure
import org.parsleymoor.core.FailureException
import org.parsleymoor.core.RequestId
import org.parsleymoor.gateway.callers.Refusal
import org.parsleymoor.gateway.callers.RefusalKind
import org.parsleymoor.limits.AdmissionControl
import org.parsleymoor.limits.AdmissionRefusal
import org.parsleymoor.limits.FairQueue
import org.parsleymoor.limits.FairQueueLimits
import org.parsleymoor.limits.QueuedRequest

/**
 * Runs at most [capacity] requests of one model at once; others wait in a fair queue. One lock guards the state and is
 * not held while a request waits.
 */
internal class AdmissionGate(private val clock: Clock, private val capacity: () -> Int) {
    private val lock = Any()
    private val waiters = HashMap<RequestId, CompletableDeferred<Unit>>()
    private var queueLimits = FairQueueLimits()
    private var queue = FairQueue(queueLimits)
    private var admission = AdmissionControl(queue)
    private var runningCount = 0

    /** Number of running requests. */
    val running: Int get() = synchronized(lock) { runningCount }

    /** Number of waiting requests. */
    val queued: Int get() = synchronized(lock) { queue.size }

    /**
     * Suspends until [request] may run; fails with a [Refusal] when a limit of the queue is reached or the request's
     * deadline passes. The caller must call [release] when the request has ended. [newLimits] replace the limits of the
     * queue if they differ.
     */
    suspend fun acquire(request: QueuedRequest, newLimits: FairQueueLimits) {
        val admitted = CompletableDeferred<Unit>()
        var acquired = false
        synchronized(lock) {
            if (newLimits != queueLimits) applyLimits(newLimits)
            admission.offer(request, clock.nowMillis()).getOrElse { throw refusal(it) }
            waiters[request.request] = admitted
        }
        try {
            admitWaiting()
            withTimeoutOrNull(request.deadlineMillis - clock.nowMillis()) { admitted.await() } ?: throw expired()
            acquired = true
        } finally {
            if (!acquired) cancelWaiting(request.request, admitted)
        }
    }

    /** Ends a running request and admits the next one. */
    fun release() {
        synchronized(lock) { runningCount-- }
        admitWaiting()
    }

    /** Admits waiting requests up to the current capacity; called when the capacity may have grown. */
    fun admitWaiting() {
        val limit = capacity()
        synchronized(lock) {
            var next = nextWithin(limit)
            while (next != null) {
                waiters.remove(next.request)?.let { waiter ->
                    runningCount++
                    waiter.complete(Unit)
                }
                next = nextWithin(limit)
            }
        }
    }

    private fun nextWithin(limit: Int): QueuedRequest? =
        if (runningCount < limit) admission.next(clock.nowMillis()) else null

    private fun cancelWaiting(request: RequestId, admitted: CompletableDeferred<Unit>) {
        val wasAdmitted = synchronized(lock) {
            queue.cancel(request)
            waiters.remove(request)
            admitted.isCompleted
        }
        if (wasAdmitted) release()
    }

    private fun applyLimits(newLimits: FairQueueLimits) {
        val waiting = generateSequence { queue.poll(clock.nowMillis()) }.toList()
        queueLimits = newLimits
        queue = FairQueue(newLimits)
        admission = AdmissionControl(queue)
        waiting.forEach { item -> queue.offer(item).getOrElse { refuseWaiting(item, it) } }
    }

    private fun refuseWaiting(item: QueuedRequest, cause: Failure) {
        waiters.remove(item.request)?.completeExceptionally(
            Refusal(RefusalKind.OVERLOADED, cause.message, retryAfterMillis = RETRY_AFTER_MILLIS).toException(),
        )
    }

    private fun refusal(cause: AdmissionRefusal): FailureException =
        Refusal(RefusalKind.OVERLOADED, cause.message, retryAfterMillis = cause.retryAfterMillis).toException()

    private fun expired(): FailureException = Refusal(
        RefusalKind.DEADLINE_PASSED,
        "no engine became free before the deadline; $queued requests are waiting",
        retryAfterMillis = RETRY_AFTER_MILLIS,
    ).toException()

    private companion object {
        const val RETRY_AFTER_MILLIS = 1_000L
    }
}
