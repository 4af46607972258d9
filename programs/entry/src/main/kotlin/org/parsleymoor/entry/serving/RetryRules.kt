package org.parsleymoor.entry.serving

import org.parsleymoor.relay.limits.SharedRetryBudget

/** Decides whether a request may be sent to another endpoint, after an attempt or while its endpoint is silent. */
internal class RetryRules(
    context: ServingContext,
    private val selector: EndpointSelector,
    private val attemptRunner: AttemptRunner,
    private val budget: SharedRetryBudget,
    private val quarantine: QuarantineGate,
) {
    private val clock = context.clock
    private val shutdown = context.shutdown

    /** Whether [pending] may be sent again after [result], apart from the retry budget. */
    fun mayRetry(pending: PendingRequest, result: AttemptResult): Boolean {
        val allowed = when (result) {
            is AttemptResult.Delivered -> false
            is AttemptResult.NotRun ->
                pending.possibleRuns < pending.route.attempts && maySend(pending)
            is AttemptResult.Failed, is AttemptResult.Uncertain ->
                pending.route.repeatable && pending.possibleRuns < pending.route.attempts
        }
        return hasTimeLeft(pending) && allowed
    }

    private fun maySend(pending: PendingRequest): Boolean =
        if (pending.streamStarted) {
            pending.sendCount < MAX_STREAM_SENDS && pending.attemptCount < MAX_STREAM_ATTEMPTS
        } else {
            pending.sendCount < MAX_SENDS
        }

    private fun hasTimeLeft(pending: PendingRequest): Boolean {
        val untilMillis = if (pending.streamStarted) pending.deadlineMillis else pending.firstByteDeadlineMillis
        return untilMillis - clock.nowMillis() > MIN_REMAINING_MILLIS
    }

    /**
     * Returns the endpoint to which [pending] is sent now beside an attempt at a silent one, and takes a retry from the
     * budget; returns null if there is none, or it is not expected to accept the request.
     */
    fun takeSuccessor(pending: PendingRequest): Target? {
        val target = if (mayRunBeside(pending)) selector.successor(pending) else null
        return target?.takeIf {
            shutdown.covers(pending, it) && canConnect(pending, it) && takeRetry(pending)
        }
    }

    /** Whether [pending] may be sent once more while an attempt is running, which may have run it too. */
    private fun mayRunBeside(pending: PendingRequest): Boolean =
        pending.route.repeatable && pending.possibleRuns + 1 < pending.route.attempts &&
            maySend(pending) && hasTimeLeft(pending) &&
            shutdown.covers(pending) && quarantine.allows(pending)

    /**
     * Takes a retry of [pending] after [result] from the budget; returns false if none is left. The retry that was
     * taken for an attempt in which nothing was sent serves for the next one.
     */
    fun tryTake(pending: PendingRequest, result: AttemptResult): Boolean =
        (result is AttemptResult.NotRun && !result.sent) || takeRetry(pending)

    /** Whether the limit of connections allows [pending] to be sent to [target]. */
    fun canConnect(pending: PendingRequest, target: Target): Boolean =
        attemptRunner.canConnect(pending, target.endpoint)

    private fun takeRetry(pending: PendingRequest): Boolean =
        budget.tryTakeRetry(pending.service.name, clock.nowMillis())

    private companion object {
        // Less time than this is too short for an endpoint to respond.
        const val MIN_REMAINING_MILLIS = 30L

        // Limits how often a request is sent when endpoints refuse it.
        const val MAX_SENDS = 4

        // A stream that has begun cannot be refused any more, and waits for its endpoints.
        const val MAX_STREAM_SENDS = 8

        // Includes attempts in which no connection could be opened.
        const val MAX_STREAM_ATTEMPTS = 32
    }
}
