package org.parsleymoor.relay.placement

import org.parsleymoor.relay.admission.OfferedWork
import org.parsleymoor.relay.fleet.EndpointState

/** An engine that may be selected, with what it is expected to cost to use it. */
internal data class EngineCandidate(
    val state: EndpointState,
    val firstTokenMillis: Double,
    val sharedPartsMillis: Double,
    val penaltyMillis: Double,
    val spilloverMillis: Double,
)

/** Whether a prompt is admitted now, and to which engine. */
internal sealed interface AdmissionDecision {
    data class Admitted(val candidate: EngineCandidate) : AdmissionDecision

    data class Refused(val retryAfterMillis: Long) : AdmissionDecision
}

/**
 * Decides whether a prompt is admitted and selects its engine among those that can answer it in time and leave room for
 * what is more urgent. [queueMillis] estimates how long a prompt of a number of tokens waits at an engine, when a
 * number of instances send there.
 */
internal class EngineAdmission(
    private val settings: EnginePlacementSettings,
    private val sampler: EngineSampler,
    private val queueMillis: (EndpointState, Long, Int, Long) -> Double,
) {
    private val offeredWork = OfferedWork(NEWS_MILLIS)

    private val totalMillis = { candidate: EngineCandidate ->
        candidate.firstTokenMillis + candidate.sharedPartsMillis * settings.prefillInterference +
            candidate.penaltyMillis
    }

    /**
     * Selects one of [few] if all of them have room, otherwise one of [all]. Where few have room, the other instances
     * see the same room: each then takes no more of it than its part of what all of them offer, after what goes first.
     * Otherwise all would send at once to the engine that has just become free.
     */
    fun decide(
        query: EnginePlacementQuery,
        few: List<EngineCandidate>,
        all: () -> List<EngineCandidate>,
        nowMillis: Long,
    ): AdmissionDecision {
        val request = query.base
        val readMillis = query.prompt.promptTokens / settings.prefillTokensPerMilli
        val offered = offeredWork.record(request.service, rank(request), readMillis, nowMillis) *
            if (request.hasBegun) 0 else query.instances - 1
        if (few.all { roomMillis(it, query, nowMillis) > 0 }) {
            return AdmissionDecision.Admitted(sampler.select(few) { totalMillis(it) + it.spilloverMillis })
        }
        // A request is refused only after every candidate has been considered, whatever operators charge.
        val options = all()
        val rooms = options.associateWith { roomMillis(it, query, nowMillis) }.filterValues { it > 0 }
            .mapValues { it.value + NEWS_MILLIS }
        val selected = if (rooms.isEmpty()) {
            sampler.select(options, totalMillis).takeIf { isInTime(it, query, nowMillis) }
        } else {
            sampler.selectShare(rooms, offered)
        }
        val share = if (rooms.isEmpty()) 0.0 else offered.admittedShare(rooms.values.sum())
        return selected?.let { AdmissionDecision.Admitted(it) }
            ?: AdmissionDecision.Refused(retryAfterMillis(request, share))
    }

    /** Callers that were refused before go before those of the same urgency that come for the first time. */
    private fun rank(request: PlacementQuery): Long = request.urgency * RANKS - if (request.isRetry) 1 else 0

    private fun isInTime(candidate: EngineCandidate, query: EnginePlacementQuery, nowMillis: Long): Boolean =
        candidate.firstTokenMillis <= maxFirstTokenMillis(query.base) &&
            roomForUrgentMillis(candidate.state, query, nowMillis) >= 0

    /** Returns how much longer the candidate's queue could be for this request, zero or less if it is too long. */
    private fun roomMillis(candidate: EngineCandidate, query: EnginePlacementQuery, nowMillis: Long): Double = minOf(
        maxFirstTokenMillis(query.base) - candidate.firstTokenMillis - candidate.penaltyMillis,
        roomForUrgentMillis(candidate.state, query, nowMillis),
    )

    /**
     * Returns how much longer the queue of [state] could be for a more urgent request that comes after this one.
     * Otherwise long requests that may wait would fill every engine until none answers a short one in its objective.
     */
    private fun roomForUrgentMillis(state: EndpointState, query: EnginePlacementQuery, nowMillis: Long): Double {
        val (base, prompt) = query
        val factor = state.speed.workFactor(nowMillis)
        return base.moreUrgent.takeUnless { base.hasBegun }.orEmpty().mapNotNull { need ->
            val tokens = need.promptTokens + prompt.promptTokens + prompt.outputTokens
            val own = need.promptTokens / settings.prefillTokensPerMilli + settings.decodeStepMillis
            val kept = need.objectiveMillis * settings.firstTryObjectives - own * factor
            val read = prompt.promptTokens / settings.prefillTokensPerMilli * OWN_READ_SHARE * factor
            // No room is kept for what an idle engine could not answer in time either.
            if (kept <= 0) {
                null
            } else {
                kept - queueMillis(state, tokens, query.instances, nowMillis) * factor - minOf(read, kept / 2)
            }
        }.minOrNull() ?: Double.MAX_VALUE
    }

    /**
     * Returns the longest expected time to first token at which [request] is accepted. A request that would be answered
     * too late is refused at once: engines that accept everything under overload answer all of it late, and remain late
     * after the overload ends. A retry may wait slightly longer than a first attempt, because it may be the last.
     */
    private fun maxFirstTokenMillis(request: PlacementQuery): Double {
        val objectives = if (request.isRetry) settings.retryObjectives else settings.firstTryObjectives
        return minOf(request.remainingMillis * MAX_WAIT_SHARE, request.objectiveMillis * objectives)
    }

    /**
     * Returns when a caller should return if [share] of what is offered is admitted: the less it is, the longer it
     * takes until those who were refused are served. Callers do not wait as told for more than a part of their time,
     * and one that returns after its objective is answered late, in the place of another.
     */
    private fun retryAfterMillis(request: PlacementQuery, share: Double): Long {
        val most = minOf(request.remainingMillis * MAX_RETURN_SHARE, request.objectiveMillis * RETURN_OBJECTIVES)
        val backlog = (1 - share) / share.coerceAtLeast(LEAST_SHARE) * WORKED_OFF_MILLIS
        return minOf(RETRY_RANGE_MILLIS.first + backlog, most).toLong().coerceIn(RETRY_RANGE_MILLIS)
    }

    private companion object {
        // Instances learn within this time what the others sent to an engine.
        const val NEWS_MILLIS = 150L

        // Other engines serve the more urgent requests while most of a prompt is being read.
        const val OWN_READ_SHARE = 0.4

        // A request that would wait for more than this share of its remaining time is refused, so that its caller has
        // time left to retry.
        const val MAX_WAIT_SHARE = 0.6
        val RETRY_RANGE_MILLIS = 200L..2_000L

        // For each urgency, requests that return and those that come for the first time.
        const val RANKS = 2L

        // With the random part that is added to it, a third of the caller's time.
        const val MAX_RETURN_SHARE = 0.22

        // Leaves time to be answered within the objective after the return.
        const val RETURN_OBJECTIVES = 0.4

        const val LEAST_SHARE = 0.05
        const val WORKED_OFF_MILLIS = 300.0
    }
}
