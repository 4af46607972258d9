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
 * Lets at most [capacity] requests of one model run at once; others wait in the fair queue. One lock guards its state
 * and is not held while a request waits.
 */
internal class AdmissionGate(private val clock: Clock, private val capacity: () -> Int) {
    private val lock = Any()
    private val waiters = HashMap<RequestId, CompletableDeferred<Unit>>()
    private var limits = FairQueueLimits()
    private var queue = FairQueue(limits)
    private var admission = AdmissionControl(queue)
    private var runningCount = 0

    /** Requests that run now. */
    val running: Int get() = synchronized(lock) { runningCount }

    /** Requests that wait now. */
    val queued: Int get() = synchronized(lock) { queue.size }

    /**
     * Suspends until [request] may run; fails with a [Refusal] when a bound of the queue is reached or its deadline
     * passes. The caller releases the place with [release].
     */
    suspend fun enter(request: QueuedRequest, bounds: FairQueueLimits) {
        val turn = CompletableDeferred<Unit>()
        var entered = false
        synchronized(lock) {
            if (bounds != limits) resize(bounds)
            admission.offer(request, clock.nowMillis()).getOrElse { throw refusal(it) }
            waiters[request.request] = turn
        }
        try {
            admitWaiting()
            withTimeoutOrNull(request.deadlineMillis - clock.nowMillis()) { turn.await() } ?: throw expired()
            entered = true
        } finally {
            if (!entered) abandon(request.request, turn)
        }
    }

    /** Gives a place back. */
    fun release() {
        synchronized(lock) { runningCount-- }
        admitWaiting()
    }

    /** Starts waiting requests while there is room; called when capacity may have grown. */
    fun admitWaiting() {
        val room = capacity()
        synchronized(lock) {
            var next = nextWithin(room)
            while (next != null) {
                waiters.remove(next.request)?.let { waiter ->
                    runningCount++
                    waiter.complete(Unit)
                }
                next = nextWithin(room)
            }
        }
    }

    private fun nextWithin(room: Int): QueuedRequest? =
        if (runningCount < room) admission.next(clock.nowMillis()) else null

    private fun abandon(request: RequestId, turn: CompletableDeferred<Unit>) {
        val wasAdmitted = synchronized(lock) {
            queue.cancel(request)
            waiters.remove(request)
            turn.isCompleted
        }
        if (wasAdmitted) release()
    }

    private fun resize(bounds: FairQueueLimits) {
        val moved = generateSequence { queue.poll(clock.nowMillis()) }.toList()
        limits = bounds
        queue = FairQueue(bounds)
        admission = AdmissionControl(queue)
        moved.forEach { item -> queue.offer(item).getOrElse { refuseWaiting(item, it) } }
    }

    private fun refuseWaiting(item: QueuedRequest, cause: Failure) {
        waiters.remove(item.request)?.completeExceptionally(
            Refusal(RefusalKind.OVERLOADED, cause.message, retryAfterMillis = RETRY_MILLIS).toException(),
        )
    }

    private fun refusal(cause: AdmissionRefusal): FailureException =
        Refusal(RefusalKind.OVERLOADED, cause.message, retryAfterMillis = cause.retryAfterMillis).toException()

    private fun expired(): FailureException = Refusal(
        RefusalKind.DEADLINE_PASSED,
        "expected a free engine before the deadline, found $queued requests waiting",
        retryAfterMillis = RETRY_MILLIS,
    ).toException()

    private companion object {
        const val RETRY_MILLIS = 1_000L
    }
}
