package org.parsleymoor.entry.serving

import kotlinx.coroutines.delay
import org.parsleymoor.entry.callers.ResponseWriter
import org.parsleymoor.relay.limits.SharedRetryBudget
import org.parsleymoor.relay.placement.UnavailableReason

/**
 * Delivers a request to an endpoint and retries it at others as its kind, its route and the retry budget allow. A
 * request that may have run and must not run twice is never sent again.
 */
internal class Delivery(
    context: ServingContext,
    private val selector: EndpointSelector,
    attemptRunner: AttemptRunner,
    private val refusals: RefusalWriter,
    private val budget: SharedRetryBudget,
    private val quarantine: QuarantineGate,
) {
    private val deployment = context.deployment
    private val clock = context.clock
    private val shutdown = context.shutdown
    private val retries = RetryRules(context, selector, attemptRunner, budget, quarantine)
    private val attempts = AttemptSequence(context, attemptRunner, retries)

    /** Delivers [pending] and writes the response to [writer]; suspends until it is written or aborted. */
    suspend fun deliver(pending: PendingRequest, writer: ResponseWriter) {
        try {
            deliverHeld(pending, writer)
        } finally {
            pending.releaseBodies()
        }
    }

    private suspend fun deliverHeld(pending: PendingRequest, writer: ResponseWriter) {
        budget.recordRequest(pending.service.name, clock.nowMillis())
        deployment.recordRequest(pending.service.name, clock.nowMillis())
        recordDemand(pending)
        var last: AttemptResult = AttemptResult.NotRun("no endpoint was tried", sent = false)
        var choice = chooseOrWait(pending)
        var retry = true
        while (retry && choice is Choice.Chosen) {
            // A failure that is not the last result is not relayed.
            (last as? AttemptResult.Failed)?.body?.release()
            last = run(pending, choice.target, writer)
            val next = if (retries.mayRetry(pending, last)) chooseForRetry(pending, last) else null
            retry = next != null
            choice = next ?: choice
        }
        if (last is AttemptResult.Delivered) {
            shutdown.recordAnswer(pending)
        } else {
            giveUp(pending, writer, last, choice)
        }
    }

    private fun recordDemand(pending: PendingRequest) {
        val tokens = pending.prompt?.promptTokens ?: return
        deployment.recentDemand.record(
            service = pending.service.name,
            urgency = pending.rank,
            objectiveMillis = pending.route.objectiveMillis,
            promptTokens = tokens,
            nowMillis = clock.nowMillis(),
        )
    }

    /**
     * Chooses an endpoint. While all are full, waits for a share of the route's objective, as one usually frees up; it
     * waits as long for one whose pause is over by then. A stream that has begun waits as long as its caller does.
     */
    private suspend fun chooseOrWait(pending: PendingRequest): Choice {
        val untilMillis = pending.nextEventDeadlineMillis
            ?: (pending.request.receivedMillis + (pending.route.objectiveMillis * CAPACITY_WAIT_SHARE).toLong())
        quarantine.check(pending)?.let { return Choice.Quarantined(it) }
        var choice = choose(pending)
        while (choice is Choice.None && mayFreeUp(pending, choice, untilMillis - clock.nowMillis())) {
            delay(CAPACITY_POLL_MILLIS)
            choice = choose(pending)
        }
        if (choice !is Choice.Chosen) quarantine.recordNotSent(pending)
        return choice
    }

    /** Chooses an endpoint for a retry; null if the retry budget is used up, on which no pause or limit draws. */
    private suspend fun chooseForRetry(pending: PendingRequest, last: AttemptResult): Choice? =
        if (pending.streamStarted) {
            chooseForStream(pending, last)
        } else {
            selector.allPausedOrLimited(pending) ?: if (retries.tryTake(pending, last)) chooseOrWait(pending) else null
        }

    /** The same for a stream that has begun, which takes its retry from the budget when its wait is over. */
    private suspend fun chooseForStream(pending: PendingRequest, last: AttemptResult): Choice? {
        // The endpoint that could not be asked may be chosen again.
        if (last is AttemptResult.NotRun && !last.sent) delay(CAPACITY_POLL_MILLIS)
        val choice = chooseOrWait(pending)
        return choice.takeIf { it !is Choice.Chosen || retries.tryTake(pending, last) }
    }

    private fun mayFreeUp(pending: PendingRequest, choice: Choice.None, withinMillis: Long): Boolean =
        when (choice.reason) {
            UnavailableReason.OVERLOADED -> withinMillis > 0
            UnavailableReason.PAUSED -> choice.retryAfterMillis < withinMillis
            UnavailableReason.NO_ENDPOINT, UnavailableReason.NO_WEIGHTS, UnavailableReason.COLD,
            UnavailableReason.LIMITED ->
                pending.streamStarted && withinMillis > 0
        }

    private fun choose(pending: PendingRequest): Choice {
        if (!shutdown.covers(pending)) return Choice.Stopping
        val choice = selector.choose(pending)
        return when {
            choice !is Choice.Chosen -> choice
            !shutdown.covers(pending, choice.target) -> Choice.Stopping
            pending.streamStarted && !retries.canConnect(pending, choice.target) ->
                Choice.None(UnavailableReason.OVERLOADED, CAPACITY_POLL_MILLIS)
            else -> choice
        }
    }

    /** Runs the attempts, which end without a response when the last responses before the exit are due. */
    private suspend fun run(pending: PendingRequest, target: Target, writer: ResponseWriter): AttemptResult {
        val sends = pending.sendCount
        return shutdown.cutoff.runUntilDue {
            attempts.run(pending, target, writer)
        } ?: when (pending.sendCount) {
            sends -> AttemptResult.NotRun(EXITS, sent = false)
            else -> AttemptResult.Uncertain(EXITS).also { pending.possibleRuns++ }
        }
    }

    private suspend fun giveUp(pending: PendingRequest, writer: ResponseWriter, last: AttemptResult, choice: Choice) {
        when {
            writer.status != null -> writer.abort()
            last is AttemptResult.Failed -> writer.writeResponse(last.head, last.body)
            pending.possibleRuns > 0 && clock.nowMillis() >= pending.deadlineMillis ->
                refusals.write(writer, pending.id, Refusal.TimedOut(last.outcome))
            pending.possibleRuns > 0 -> refusals.write(writer, pending.id, Refusal.OutcomeUnknown(last.outcome))
            choice is Choice.Quarantined -> refusals.write(writer, pending.id, choice.refusal)
            choice is Choice.Stopping -> refusals.write(writer, pending.id, Refusal.Stopping)
            choice is Choice.None && (pending.sendCount == 0 || choice.reason in CERTAIN) ->
                refusals.write(writer, pending.id, Refusal.NoEndpoint(choice.reason, choice.retryAfterMillis))
            else -> refusals.write(writer, pending.id, Refusal.EndpointsRefused(last.outcome))
        }
    }

    private companion object {
        const val EXITS = "this instance exits"

        // It is known when endpoints accept requests again.
        val CERTAIN = setOf(UnavailableReason.PAUSED, UnavailableReason.LIMITED)

        // Engines report their load every 250 ms. Waiting longer would only delay a refusal that is already certain.
        const val CAPACITY_WAIT_SHARE = 0.12
        const val CAPACITY_POLL_MILLIS = 40L
    }
}
