package org.parsleymoor.relay.placement

import org.parsleymoor.core.rendezvousOrder
import org.parsleymoor.relay.fleet.EndpointState
import org.parsleymoor.relay.fleet.EndpointTable
import org.parsleymoor.relay.fleet.sentPromptsSince
import org.parsleymoor.relay.prompt.PromptContext
import kotlin.random.Random

/**
 * Figures of [EnginePlacement]. Token rates are those of the engines' data sheets; times are in milliseconds. Reading
 * holds up the other work of an engine as well: [prefillInterference] is the part of it that counts against an engine.
 * The expected time to the first token may be [firstTryObjectives], and [retryObjectives] for a caller that returns, of
 * the objective; docs/decisions/admission.md has the runs that these two come from.
 */
public data class EnginePlacementSettings(
    public val prefillTokensPerMilli: Double = 50.0,
    public val decodeStepMillis: Double = 20.0,
    public val meanResidenceMillis: Double = 2_000.0,
    public val meanPrefillMillis: Double = 60.0,
    public val fullMemoryPenaltyMillis: Double = 400.0,
    public val homeHitProbability: Double = 0.3,
    public val prefillInterference: Double = 1.0,
    public val otherZoneMillis: Double = 3.0,
    public val otherRegionMillis: Double = 45.0,
    public val softmaxTemperatureMillis: Double = 40.0,
    public val firstTryObjectives: Double = 0.85,
    public val retryObjectives: Double = 0.95,
    public val failurePenaltyMillis: Double = 2_000.0,
    public val olderWeightsPenaltyMillis: Double = 400.0,
    public val olderWeightsLimitMillis: Long = 7_000,
)

/** Where a prompt goes, the weights it expects there, and the endpoint that probably has its shared parts cached. */
public data class EnginePlacementResult(
    public val result: PlacementResult,
    public val weights: Long? = null,
    public val cachedAt: EndpointState? = null,
)

/**
 * A prompt that needs an engine. [instances] send work there, [fetchMillis] is null where no store helps, and
 * [cachedProbability] is how likely an engine has the shared parts in its memory.
 */
public data class EnginePlacementQuery(
    public val base: PlacementQuery,
    public val prompt: PromptContext,
    public val targetWeights: TargetWeights?,
    public val instances: Int,
    public val fetchMillis: (EndpointState) -> Double?,
    public val cachedProbability: (EndpointState) -> Double = { 0.0 },
)

/**
 * Chooses the engine with the least expected time to the first token. Prompts with the same shared parts go to the same
 * engine by rendezvous order, so that its cache serves them, until its queue costs more than reading them elsewhere.
 */
public class EnginePlacement(
    private val topology: Topology,
    private val settings: EnginePlacementSettings = EnginePlacementSettings(),
    random: Random = Random.Default,
) {
    private val draw = EngineSampler(settings.softmaxTemperatureMillis, random)

    /** Chooses among the endpoints of the request's service in [table]. */
    public fun choose(wanted: EnginePlacementQuery, table: EndpointTable, nowMillis: Long): EnginePlacementResult {
        val (request, prompt, named) = wanted
        val allowed = table.serving(request.service).filter { state ->
            state.entry.id !in request.tried && request.allowedRegions.all { topology.isAllowed(state.entry.zone, it) }
        }
        val usable = allowed.filter { it.weights(prompt.model) != null && isRecent(it, named, nowMillis) }
        val ready = usable.filter { nowMillis >= it.orderedUntilMillis }.ifEmpty { usable }
        val healthy = ready.filterNot { it.health.isEjected(nowMillis) }.ifEmpty { ready }
        val roomy = healthy.filter { it.hasRoom(prompt, nowMillis) }
        return when {
            allowed.isEmpty() -> nowhere(UnavailableReason.NO_ENDPOINT, NO_ENDPOINT_RETRY_MILLIS)
            healthy.isEmpty() -> nowhere(UnavailableReason.NO_WEIGHTS, NO_ENDPOINT_RETRY_MILLIS)
            roomy.isEmpty() && !request.isRetry -> nowhere(UnavailableReason.OVERLOADED, NO_ROOM_RETRY_MILLIS)
            else -> best(wanted, roomy.ifEmpty { healthy }, allowed, nowMillis)
        }
    }

    private data class Candidate(val state: EndpointState, val millis: Double, val readingMillis: Double)

    private fun nowhere(reason: UnavailableReason, retryAfterMillis: Long): EnginePlacementResult =
        EnginePlacementResult(PlacementResult.Unavailable(reason, retryAfterMillis))

    private fun best(
        wanted: EnginePlacementQuery,
        candidates: List<EndpointState>,
        allowed: List<EndpointState>,
        nowMillis: Long,
    ): EnginePlacementResult {
        val (request, prompt, named) = wanted
        val home = rendezvousOrder(prompt.affinityKey, candidates) { it.entry.id.value }.first()
        val heldShares = allowed.associateWith { wanted.cachedProbability(it) }
        val read = prompt.sharedTokens / settings.prefillTokensPerMilli
        val cost = { state: EndpointState ->
            val obtain = wanted.fetchMillis(state)?.let { minOf(it + FETCH_SETUP_MILLIS, read) } ?: read
            val cachedProbability = heldShares.getValue(state)
            val missShare = 1 - maxOf(cachedProbability, if (state === home) settings.homeHitProbability else 0.0)
            Candidate(state, missShare * obtain + firstTokenMillis(state, wanted, nowMillis), missShare * obtain)
        }
        val total = { (state, millis, reading): Candidate ->
            millis + reading * settings.prefillInterference + penalty(state, prompt, named, nowMillis)
        }
        val sampled = draw.sample(candidates) { it === home || heldShares.getValue(it) > 0 }
        val drawn = draw.one(sampled.map(cost), total)
        // All are looked at before a request is refused.
        val isLate = drawn.millis > patienceMillis(request) && sampled.size < candidates.size
        val (chosen, estimate) = if (isLate) draw.one(candidates.map(cost), total) else drawn
        val weights = chosen.weights(prompt.model)
        if (estimate > patienceMillis(request)) {
            val later = (estimate - request.objectiveMillis / 2).toLong().coerceIn(RETRY_RANGE_MILLIS)
            return EnginePlacementResult(PlacementResult.Unavailable(UnavailableReason.OVERLOADED, later))
        }
        val holder = heldShares.filter { it.value > 0 && it.key.weights(prompt.model) == weights }
            .maxByOrNull { it.value }?.key
        val cachedAt = (holder ?: home)
            .takeIf { it !== chosen && it.weights(prompt.model) == weights }
        return EnginePlacementResult(PlacementResult.Selected(chosen, estimate), weights, cachedAt)
    }

    /**
     * How long a request may wait. One that would be answered too late is refused at once: engines that are given all
     * that is asked of them under overload answer all of it late, and stay so after the overload ends. A caller that
     * returns may wait a little longer than one that comes for the first time, because it may not ask again.
     */
    private fun patienceMillis(request: PlacementQuery): Double {
        val objectives = if (request.isRetry) settings.retryObjectives else settings.firstTryObjectives
        return minOf(request.remainingMillis * PATIENCE_SHARE, request.objectiveMillis * objectives)
    }

    private fun firstTokenMillis(state: EndpointState, wanted: EnginePlacementQuery, nowMillis: Long): Double {
        val prompt = wanted.prompt
        val shared = prompt.sharedTokens
        val own = (prompt.promptTokens - shared).coerceAtLeast(0)
        val queue = queueMillis(state, prompt, wanted.instances, nowMillis)
        return queue + own / settings.prefillTokensPerMilli + settings.decodeStepMillis + distanceMillis(state)
    }

    /** Expected wait for memory and for the prompts that are read before. */
    private fun queueMillis(state: EndpointState, prompt: PromptContext, instances: Int, nowMillis: Long): Double {
        val load = state.engineLoad?.takeIf { nowMillis - it.atMillis < REPORT_LIFE_MILLIS }
            ?: return state.tokensInFlight * minOf(instances, FULL_VIEW_INSTANCES) / settings.prefillTokensPerMilli
        val sent = state.sentPromptsSince(load.atMillis - REPORT_LAG_MILLIS)
        val sentTokens = sent.sumOf { it.tokens }
        val need = prompt.promptTokens + prompt.outputTokens
        val meanTokens = if (load.running > 0) load.memoryUsed / load.running else need
        val deficit = need + sentTokens + load.waiting * meanTokens - (load.memoryTotal - load.memoryUsed)
        val memory = deficit.coerceAtLeast(0) * settings.meanResidenceMillis / load.memoryTotal.coerceAtLeast(1)
        val reading = (load.prefilling + load.waiting) * settings.meanPrefillMillis +
            sent.sumOf { it.prefillTokens } / settings.prefillTokensPerMilli
        val fullness = (load.memoryUsed + sentTokens).toDouble() / load.memoryTotal.coerceAtLeast(1)
        return memory + reading + fullness * settings.fullMemoryPenaltyMillis
    }

    private fun penalty(state: EndpointState, prompt: PromptContext, named: TargetWeights?, nowMillis: Long): Double {
        val older = named != null && (state.weights(prompt.model) ?: 0) < named.version
        val failures = settings.failurePenaltyMillis * state.health.recentFailures
        val cold = if (state.isCold(nowMillis)) COLD_PENALTY_MILLIS else 0.0
        val refused = if (state.refusedMillis > nowMillis - REFUSAL_MILLIS) REFUSAL_PENALTY_MILLIS else 0.0
        return failures + cold + refused + if (older) settings.olderWeightsPenaltyMillis else 0.0
    }

    private fun isRecent(state: EndpointState, named: TargetWeights?, nowMillis: Long): Boolean =
        named == null ||
            (state.weights(named.model) ?: 0) >= named.version ||
            nowMillis - named.outdatedSinceMillis(state.weights(named.model) ?: 0) < settings.olderWeightsLimitMillis

    private fun distanceMillis(state: EndpointState): Double = when (topology.distance(state.entry.zone)) {
        Distance.SAME_ZONE -> 0.0
        Distance.SAME_REGION -> settings.otherZoneMillis
        Distance.OTHER_REGION -> settings.otherRegionMillis
    }

    private companion object {
        // An engine that restarts registers within a heartbeat, about a second.
        const val NO_ENDPOINT_RETRY_MILLIS = 700L
        const val FETCH_SETUP_MILLIS = 9.0

        // Beyond a few instances, requests under way elsewhere are independent of those here.
        const val FULL_VIEW_INSTANCES = 3

        // Runs of long prompts take two seconds or more, so that some memory is free again after this time.
        const val NO_ROOM_RETRY_MILLIS = 800L

        // An engine that refuses is full or loads weights, which takes about a second.
        const val REFUSAL_MILLIS = 700L
        const val REFUSAL_PENALTY_MILLIS = 600.0
        const val COLD_PENALTY_MILLIS = 300.0

        // A request that would wait longer than this share of its time is refused, so that its caller can return.
        const val PATIENCE_SHARE = 0.6
        val RETRY_RANGE_MILLIS = 200L..2_000L
    }
}
