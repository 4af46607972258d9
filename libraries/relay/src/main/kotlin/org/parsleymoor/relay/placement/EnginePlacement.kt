package org.parsleymoor.relay.placement

import org.parsleymoor.core.rendezvousOrder
import org.parsleymoor.relay.fleet.EndpointState
import org.parsleymoor.relay.fleet.EndpointTable
import org.parsleymoor.relay.fleet.isPaused
import org.parsleymoor.relay.fleet.sentPromptsSince
import org.parsleymoor.relay.fleet.shortestPauseMillis
import org.parsleymoor.relay.fleet.unreadTokens
import org.parsleymoor.relay.prompt.PromptContext
import kotlin.random.Random

/**
 * Settings of [EnginePlacement]. Token rates are those of the engines' data sheets; times are in milliseconds. Prefill
 * also delays the other requests of an engine: [prefillInterference] is the share of the prefill time that is added to
 * the engine's cost for it. A request is refused when its expected time to first token exceeds the objective times
 * [firstTryObjectives], or times [retryObjectives] for a retry; docs/decisions/admission.md explains these limits.
 */
public data class EnginePlacementSettings(
    public val prefillTokensPerMilli: Double = 50.0,
    public val decodeStepMillis: Double = 20.0,
    public val meanResidenceMillis: Double = 2_000.0,
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

/**
 * The outcome of placing a prompt: the weight version that it expects at the selected engine, and in [cachedAt] another
 * engine that probably has its shared parts cached.
 */
public data class EnginePlacementResult(
    public val result: PlacementResult,
    public val weights: Long? = null,
    public val cachedAt: EndpointState? = null,
)

/**
 * A prompt that needs an engine. [targetWeights] is null before operators have set any; [instances] is the number of
 * instances that send requests to the engines. [fetchMillis] estimates how long an engine takes to fetch the shared
 * parts from a KV cache store, or returns null when no store has them. [cachedProbability] estimates how likely an
 * engine has them in its own memory.
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
 * Selects the engine with the least expected time to first token. Prompts with the same shared parts prefer the same
 * engine, their home engine in rendezvous order, so that its cache serves them, until waiting there takes longer than
 * prefilling the shared parts elsewhere.
 */
public class EnginePlacement(
    private val topology: Topology,
    private val settings: EnginePlacementSettings = EnginePlacementSettings(),
    random: Random = Random.Default,
) {
    private val sampler = EngineSampler(settings.softmaxTemperatureMillis, random)
    private val admission = EngineAdmission(settings, sampler, ::queueMillis)

    /** Selects one of the engines in [table] that serve [query]. */
    public fun choose(query: EnginePlacementQuery, table: EndpointTable, nowMillis: Long): EnginePlacementResult {
        val request = query.base
        val inRegions = table.serving(request.service).filter { state ->
            request.accepts(state) && request.allowedRegions.all { topology.isAllowed(state.entry.zone, it) }
        }
        val pausedMillis = table.shortestPauseMillis(inRegions, nowMillis)
        if (pausedMillis != null) return unavailable(UnavailableReason.PAUSED, pausedMillis)
        val allowed =
            inRegions.filter { it.entry.id !in request.tried && !table.isPaused(it.incarnation, nowMillis) }
        val limited = table.byLimit(allowed, request, nowMillis) { query.cachedProbability(it) >= LIKELY_CACHED }
        return if (allowed.isNotEmpty() && limited.isExhausted) {
            unavailable(UnavailableReason.LIMITED, limited.waitMillis)
        } else {
            limited.firstSelected({ chooseAmong(it, query, allowed, nowMillis) }) {
                it.result is PlacementResult.Selected
            }
        }
    }

    /** Selects one of [endpoints]; one of all that are [allowed] may have the shared parts cached. */
    private fun chooseAmong(
        endpoints: List<EndpointState>,
        query: EnginePlacementQuery,
        allowed: List<EndpointState>,
        nowMillis: Long,
    ): EnginePlacementResult {
        val (request, prompt, target) = query
        val usable = endpoints.filter { it.weights(prompt.model) != null && isRecent(it, target, nowMillis) }
        val ready = usable.filter { nowMillis >= it.orderedUntilMillis }.orLastResort(request, usable)
        val healthy = ready.filterNot { it.health.isEjected(nowMillis) }.orLastResort(request, ready)
            .filterNot { request.isSuccessor && it.hasRefused(nowMillis) }
        val withMemory = healthy.filter { it.hasMemoryFor(prompt, nowMillis) }
        return when {
            endpoints.isEmpty() -> unavailable(UnavailableReason.NO_ENDPOINT, NO_ENDPOINT_RETRY_MILLIS)
            healthy.isEmpty() -> unavailable(UnavailableReason.NO_WEIGHTS, NO_ENDPOINT_RETRY_MILLIS)
            withMemory.isEmpty() && !request.isRetry -> unavailable(UnavailableReason.OVERLOADED, FULL_RETRY_MILLIS)
            else -> select(query, withMemory.ifEmpty { healthy }, allowed, nowMillis)
        }
    }

    private fun unavailable(reason: UnavailableReason, retryAfterMillis: Long): EnginePlacementResult =
        EnginePlacementResult(PlacementResult.Unavailable(reason, retryAfterMillis))

    private fun select(
        query: EnginePlacementQuery,
        candidates: List<EndpointState>,
        allowed: List<EndpointState>,
        nowMillis: Long,
    ): EnginePlacementResult {
        val (request, prompt, target) = query
        val home = rendezvousOrder(prompt.affinityKey, candidates) { it.entry.id.value }.first()
        val cachedProbabilities = allowed.associateWith { query.cachedProbability(it) }
        val prefill = prompt.sharedTokens / settings.prefillTokensPerMilli
        val cost = { state: EndpointState ->
            val slowPrefill = prefill * state.speed.workFactor(nowMillis)
            val obtain = query.fetchMillis(state)?.let { minOf(it + FETCH_SETUP_MILLIS, slowPrefill) } ?: slowPrefill
            val cached = cachedProbabilities.getValue(state)
            val missRate = 1 - maxOf(cached, if (state === home) settings.homeHitProbability else 0.0)
            val firstToken = missRate * obtain + firstTokenMillis(state, query, nowMillis)
            EngineCandidate(
                state = state,
                firstTokenMillis = firstToken,
                sharedPartsMillis = missRate * obtain,
                penaltyMillis = penalty(state, prompt, target, nowMillis),
                spilloverMillis = request.spillover?.millis(state.entry.zone, topology) ?: 0.0,
            )
        }
        val comesFirst = { state: EndpointState ->
            request.spillover?.comesFirst(state.entry.zone, topology) ?: true
        }
        val sampled = sampler.sample(candidates, comesFirst) { it === home || cachedProbabilities.getValue(it) > 0 }
        val decision = admission.decide(query, sampled.map(cost), { candidates.map(cost) }, nowMillis)
        val (chosen, estimate) = when (decision) {
            is AdmissionDecision.Admitted -> decision.candidate
            is AdmissionDecision.Refused ->
                return unavailable(UnavailableReason.OVERLOADED, decision.retryAfterMillis)
        }
        val weights = chosen.weights(prompt.model)
        val holder = cachedProbabilities.filter { it.value > 0 && it.key.weights(prompt.model) == weights }
            .maxByOrNull { it.value }?.key
        val cachedAt = (holder ?: home)
            .takeIf { it !== chosen && it.weights(prompt.model) == weights }
        val selected =
            PlacementResult.Selected(chosen, estimate, distanceMillis(chosen), chosen.speed.workFactor(nowMillis))
        return EnginePlacementResult(selected, weights, cachedAt)
    }

    private fun firstTokenMillis(state: EndpointState, query: EnginePlacementQuery, nowMillis: Long): Double {
        val prompt = query.prompt
        val shared = prompt.sharedTokens
        val own = (prompt.promptTokens - shared).coerceAtLeast(0)
        val queue = queueMillis(state, prompt.promptTokens + prompt.outputTokens, query.instances, nowMillis)
        val work = queue + own / settings.prefillTokensPerMilli + settings.decodeStepMillis
        return work * state.speed.workFactor(nowMillis) + distanceMillis(state)
    }

    /** Returns the wait for [need] tokens of memory and for the prefill of prompts ahead, at the usual speed. */
    private fun queueMillis(state: EndpointState, need: Long, instances: Int, nowMillis: Long): Double {
        val load = state.engineLoad?.takeIf { nowMillis - it.atMillis < REPORT_LIFE_MILLIS }
            ?: return state.tokensInFlight * minOf(instances, MAX_ALIKE_INSTANCES) / settings.prefillTokensPerMilli
        val sent = state.sentPromptsSince(load.atMillis - REPORT_LAG_MILLIS)
        val sentTokens = sent.sumOf { it.tokens }
        val meanTokens = if (load.running > 0) load.memoryUsed / load.running else need
        val deficit = need + sentTokens + load.waiting * meanTokens - (load.memoryTotal - load.memoryUsed)
        val memory = deficit.coerceAtLeast(0) * settings.meanResidenceMillis / load.memoryTotal.coerceAtLeast(1)
        val prefill = state.unreadTokens(nowMillis) / settings.prefillTokensPerMilli
        val fullness = (load.memoryUsed + sentTokens).toDouble() / load.memoryTotal.coerceAtLeast(1)
        return memory + prefill + fullness * settings.fullMemoryPenaltyMillis
    }

    private fun penalty(state: EndpointState, prompt: PromptContext, target: TargetWeights?, nowMillis: Long): Double {
        val older = target != null && (state.weights(prompt.model) ?: 0) < target.version
        val failures = settings.failurePenaltyMillis * state.health.recentFailures
        val cold = if (state.isCold(nowMillis)) COLD_PENALTY_MILLIS else 0.0
        val refused = if (state.hasRefused(nowMillis)) REFUSAL_PENALTY_MILLIS else 0.0
        return failures + cold + refused + if (older) settings.olderWeightsPenaltyMillis else 0.0
    }

    private fun isRecent(state: EndpointState, target: TargetWeights?, nowMillis: Long): Boolean =
        target == null ||
            (state.weights(target.model) ?: 0) >= target.version ||
            nowMillis - target.outdatedSinceMillis(state.weights(target.model) ?: 0) < settings.olderWeightsLimitMillis

    private fun distanceMillis(state: EndpointState): Double = when (topology.distance(state.entry.zone)) {
        Distance.SAME_ZONE -> 0.0
        Distance.SAME_REGION -> settings.otherZoneMillis
        Distance.OTHER_REGION -> settings.otherRegionMillis
    }

    private companion object {
        // An engine that restarts registers within a heartbeat, about a second.
        const val NO_ENDPOINT_RETRY_MILLIS = 700L
        const val FETCH_SETUP_MILLIS = 9.0

        // A prompt that finds its context costs an engine in need less than any other.
        const val LIKELY_CACHED = 0.5

        // Without a load report, every other instance is assumed to have as much in flight as this one, up to this
        // number of instances: beyond a few, their requests are independent of those here.
        const val MAX_ALIKE_INSTANCES = 3

        // Long prompts occupy memory for two seconds or more, so some memory is free again after this time.
        const val FULL_RETRY_MILLIS = 800L

        const val REFUSAL_PENALTY_MILLIS = 600.0
        const val COLD_PENALTY_MILLIS = 300.0
    }
}
