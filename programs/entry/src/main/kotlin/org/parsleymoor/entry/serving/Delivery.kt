package org.parsleymoor.entry.serving

import kotlinx.coroutines.delay
import kotlinx.serialization.json.put
import org.parsleymoor.entry.callers.ResponseWriter
import org.parsleymoor.relay.limits.SharedRetryBudget
import org.parsleymoor.relay.placement.NoPlaceReason

/**
 * Sends a request to one endpoint after the other as far as its kind, its route and the retry budget allow, until it is
 * answered or given up. A request that may have run and must not run twice is never sent again.
 */
internal class Delivery(
    context: ServingContext,
    private val selector: EndpointSelector,
    private val attempts: AttemptRunner,
    private val refusals: RefusalWriter,
    private val budget: SharedRetryBudget,
) {
    private val deployment = context.deployment
    private val log = context.log
    private val metrics = context.metrics
    private val clock = context.clock

    /** Delivers [pending] through [answer]; suspends until the answer is written or given up. */
    suspend fun deliver(pending: PendingRequest, answer: ResponseWriter) {
        budget.request(pending.service.name, clock.nowMillis())
        var last: AttemptResult = AttemptResult.NotRun("no endpoint was asked", sent = false)
        var choice = chooseSoon(pending)
        var again = true
        while (again && choice is Choice.Chosen) {
            last = attempt(pending, choice.target, answer)
            account(pending, choice.target, last)
            again = mayRepeat(pending, last)
            if (again) choice = chooseSoon(pending)
        }
        if (last !is AttemptResult.Delivered) giveUp(pending, answer, last, choice as? Choice.None)
    }

    /** Chooses an endpoint; while all are full, waits for a part of the objective, in which one usually gets room. */
    private suspend fun chooseSoon(pending: PendingRequest): Choice {
        val untilMillis = pending.request.receivedMillis + (pending.route.objectiveMillis * HOLD_SHARE).toLong()
        var choice = selector.choose(pending)
        while ((choice as? Choice.None)?.reason == NoPlaceReason.OVERLOADED && clock.nowMillis() < untilMillis) {
            delay(HOLD_POLL_MILLIS)
            choice = selector.choose(pending)
        }
        return choice
    }

    private suspend fun attempt(pending: PendingRequest, target: Target, answer: ResponseWriter): AttemptResult {
        val startMillis = clock.nowMillis()
        val result = attempts.run(pending, target, answer)
        val nowMillis = clock.nowMillis()
        metrics.attempts.increment()
        log.write("request.attempt", always = result !is AttemptResult.Delivered) {
            val endpoint = target.endpoint
            put("request", pending.id.value)
            put("route", pending.route.name)
            put("endpoint", endpoint.entry.id.value)
            put("entryAgeMillis", nowMillis - endpoint.heardMillis)
            put("configuration", deployment.routes?.configuration?.version)
            put("estimateMillis", target.estimateMillis.toLong())
            pending.prompt?.let { prompt ->
                put("context", prompt.affinityKey)
                put("sharedTokens", prompt.sharedTokens)
                put("promptTokens", prompt.promptTokens)
            }
            target.weights?.let { put("weights", it) }
            target.transfer.source?.let { put("fetchFrom", it) }
            target.transfer.target?.let { put("saveTo", it) }
            target.load?.let { load ->
                put("running", load.running)
                put("waiting", load.waiting)
                put("prefilling", load.prefilling)
                put("memoryUsed", load.memoryUsed)
                put("loadAgeMillis", startMillis - load.atMillis)
            }
            pending.firstByteMillis?.let { put("firstByteMillis", it - startMillis) }
            put("millis", nowMillis - startMillis)
            put("outcome", result.outcome)
        }
        return result
    }

    private fun account(pending: PendingRequest, target: Target, result: AttemptResult) {
        if (result is AttemptResult.Uncertain || result is AttemptResult.Failed) pending.possibleRuns++
        pending.tried += target.endpoint.entry.id
    }

    private fun mayRepeat(pending: PendingRequest, result: AttemptResult): Boolean {
        val untilMillis = if (pending.started) pending.deadlineMillis else pending.firstByteDeadlineMillis
        val timeLeft = untilMillis - clock.nowMillis() > MINIMAL_MILLIS
        val allowed = when (result) {
            is AttemptResult.Delivered -> false
            is AttemptResult.NotRun -> pending.possibleRuns < pending.route.attempts && pending.sendCount < MAXIMAL_SENDS
            is AttemptResult.Failed, is AttemptResult.Uncertain ->
                pending.route.repeatable && pending.possibleRuns < pending.route.attempts
        }
        return timeLeft && allowed && withinBudget(pending, result)
    }

    private fun withinBudget(pending: PendingRequest, result: AttemptResult): Boolean =
        (result is AttemptResult.NotRun && !result.sent && pending.sendCount == 0) ||
            budget.tryRepeat(pending.service.name, deployment.instances, clock.nowMillis())

    private fun giveUp(pending: PendingRequest, answer: ResponseWriter, last: AttemptResult, choice: Choice.None?) {
        when {
            answer.status != null -> answer.abort()
            last is AttemptResult.Failed -> answer.writeResponse(last.head, last.body)
            pending.possibleRuns > 0 && clock.nowMillis() >= pending.deadlineMillis ->
                refusals.answer(answer, pending.id, Refusal.TimedOut(last.outcome))
            pending.possibleRuns > 0 -> refusals.answer(answer, pending.id, Refusal.OutcomeUnknown(last.outcome))
            choice != null && pending.sendCount == 0 ->
                refusals.answer(answer, pending.id, Refusal.NoEndpoint(choice.reason, choice.retryAfterMillis))
            else -> refusals.answer(answer, pending.id, Refusal.EndpointsRefused(last.outcome))
        }
    }

    private companion object {
        // An endpoint with less time than this cannot answer.
        const val MINIMAL_MILLIS = 30L

        // Engines report every quarter of a second; a longer wait would hold back a refusal that is known already.
        const val HOLD_SHARE = 0.12
        const val HOLD_POLL_MILLIS = 40L

        // Endpoints that refuse are asked in turn up to this number of sends.
        const val MAXIMAL_SENDS = 4
    }
}
