package org.parsleymoor.entry.serving

import kotlinx.coroutines.delay
import kotlinx.serialization.json.put
import org.parsleymoor.entry.callers.CallerAnswer
import org.parsleymoor.relay.limits.SharedRetryBudget
import org.parsleymoor.relay.placement.UnavailableReason

/**
 * Sends a request to one endpoint after the other as far as its kind, its route and the retry budget allow, until it is
 * answered or given up. A request that may have run and must not run twice is never sent again.
 */
internal class Delivery(
    context: ServingContext,
    private val placer: Placer,
    private val attempts: Attempts,
    private val refusals: Refusals,
    private val budget: SharedRetryBudget,
) {
    private val beliefs = context.beliefs
    private val log = context.log
    private val metrics = context.metrics
    private val clock = context.clock

    /** Delivers [work] through [answer]; suspends until the answer is written or given up. */
    suspend fun deliver(work: Work, answer: CallerAnswer) {
        budget.recordRequest(work.service.name, clock.nowMillis())
        var last: AttemptResult = AttemptResult.NotRun("no endpoint was asked", sent = false)
        var choice = chooseSoon(work)
        var again = true
        while (again && choice is Choice.Chosen) {
            last = attempt(work, choice.target, answer)
            account(work, choice.target, last)
            again = mayRepeat(work, last)
            if (again) choice = chooseSoon(work)
        }
        if (last !is AttemptResult.Delivered) giveUp(work, answer, last, choice as? Choice.None)
    }

    /** Chooses an endpoint; while all are full, waits for a part of the objective, in which one usually gets room. */
    private suspend fun chooseSoon(work: Work): Choice {
        val untilMillis = work.request.receivedMillis + (work.route.objectiveMillis * HOLD_SHARE).toLong()
        var choice = placer.choose(work)
        while ((choice as? Choice.None)?.reason == UnavailableReason.OVERLOADED && clock.nowMillis() < untilMillis) {
            delay(HOLD_POLL_MILLIS)
            choice = placer.choose(work)
        }
        return choice
    }

    private suspend fun attempt(work: Work, target: Target, answer: CallerAnswer): AttemptResult {
        val startMillis = clock.nowMillis()
        val result = attempts.run(work, target, answer)
        val nowMillis = clock.nowMillis()
        metrics.attempts.increment()
        log.write("request.attempt", always = result !is AttemptResult.Delivered) {
            val endpoint = target.endpoint
            put("request", work.id.value)
            put("route", work.route.name)
            put("endpoint", endpoint.entry.id.value)
            put("entryAgeMillis", nowMillis - endpoint.entryReceivedMillis)
            put("configuration", beliefs.routes?.configuration?.version)
            put("estimateMillis", target.estimateMillis.toLong())
            work.prompt?.let { prompt ->
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
            work.firstByteMillis?.let { put("firstByteMillis", it - startMillis) }
            put("millis", nowMillis - startMillis)
            put("outcome", result.outcome)
        }
        return result
    }

    private fun account(work: Work, target: Target, result: AttemptResult) {
        if (result is AttemptResult.Uncertain || result is AttemptResult.Failed) work.runs++
        work.tried += target.endpoint.entry.id
    }

    private fun mayRepeat(work: Work, result: AttemptResult): Boolean {
        val untilMillis = if (work.started) work.limitMillis else work.beginLimitMillis
        val timeLeft = untilMillis - clock.nowMillis() > MINIMAL_MILLIS
        val allowed = when (result) {
            is AttemptResult.Delivered -> false
            is AttemptResult.NotRun -> work.runs < work.route.attempts && work.sends < MAXIMAL_SENDS
            is AttemptResult.Failed, is AttemptResult.Uncertain ->
                work.route.repeatable && work.runs < work.route.attempts
        }
        return timeLeft && allowed && withinBudget(work, result)
    }

    private fun withinBudget(work: Work, result: AttemptResult): Boolean =
        (result is AttemptResult.NotRun && !result.sent && work.sends == 0) ||
            budget.tryTakeRetry(work.service.name, beliefs.instances, clock.nowMillis())

    private fun giveUp(work: Work, answer: CallerAnswer, last: AttemptResult, choice: Choice.None?) {
        when {
            answer.status != null -> answer.abort()
            last is AttemptResult.Failed -> answer.whole(last.head, last.body)
            work.runs > 0 && clock.nowMillis() >= work.limitMillis ->
                refusals.answer(answer, work.id, Refusal.TimedOut(last.outcome))
            work.runs > 0 -> refusals.answer(answer, work.id, Refusal.OutcomeUnknown(last.outcome))
            choice != null && work.sends == 0 ->
                refusals.answer(answer, work.id, Refusal.NoPlace(choice.reason, choice.retryAfterMillis))
            else -> refusals.answer(answer, work.id, Refusal.EndpointsRefused(last.outcome))
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
