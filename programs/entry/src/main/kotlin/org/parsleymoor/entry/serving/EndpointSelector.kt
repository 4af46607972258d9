package org.parsleymoor.entry.serving

import org.parsleymoor.core.EndpointId
import org.parsleymoor.entry.EntrySettings
import org.parsleymoor.relay.fleet.EndpointState
import org.parsleymoor.relay.fleet.shortestLimitMillis
import org.parsleymoor.relay.fleet.shortestPauseMillis
import org.parsleymoor.relay.limits.ColdEndpointBudget
import org.parsleymoor.relay.limits.ColdEndpointLimit
import org.parsleymoor.relay.placement.EnginePlacement
import org.parsleymoor.relay.placement.EnginePlacementQuery
import org.parsleymoor.relay.placement.EnginePlacementResult
import org.parsleymoor.relay.placement.EnginePlacementSettings
import org.parsleymoor.relay.placement.PlacementQuery
import org.parsleymoor.relay.placement.PlacementResult
import org.parsleymoor.relay.placement.ServicePlacement
import org.parsleymoor.relay.placement.Topology
import org.parsleymoor.relay.placement.UnavailableReason
import org.parsleymoor.relay.release.choices

/** Outcome of choosing an endpoint. */
internal sealed interface Choice {
    class Chosen(val target: Target) : Choice

    data class None(val reason: UnavailableReason, val retryAfterMillis: Long) : Choice

    /** The time left before this instance exits does not cover the request. */
    data object Stopping : Choice

    /** Endpoints crash on the request or on a part of its prompt. */
    class Quarantined(val refusal: Refusal.Quarantined) : Choice
}

/**
 * Chooses the endpoint for each attempt, using the placement rules of the relay library.
 *
 * @param startMillis when this process started
 */
internal class EndpointSelector(
    private val settings: EntrySettings,
    context: ServingContext,
    startMillis: Long = Long.MIN_VALUE / 2,
) {
    private val deployment = context.deployment
    private val clock = context.clock
    private val topology = Topology(settings.zone, settings.zones)
    private val transfers = CacheTransferPlanner(topology, deployment, clock)
    private val services = ServicePlacement(topology)
    private val engines = EnginePlacement(
        topology,
        EnginePlacementSettings(
            olderWeightsLimitMillis =
            settings.times.weightsMillis * OLDER_WEIGHTS_NUMERATOR / OLDER_WEIGHTS_DENOMINATOR,
        ),
    )
    private val cold = ColdEndpointBudget(settings.instance, startMillis)
    private val spillover = ZoneSpillover(topology, settings.spillover, deployment, context.log)

    /**
     * Chooses an endpoint for [pending]. For a stream that has begun, which would end in the middle, it may be one that
     * was tried before, if it is expected to accept the rest: it may have been silent or full for a moment.
     */
    fun choose(pending: PendingRequest): Choice {
        val choice = deployment.releases.choicesFor(pending, clock.nowMillis())
            .firstSelected { chooseUntried(pending, it) }
        val again = if (choice is Choice.None && pending.streamStarted) accepting(pending, tried = emptySet()) else null
        return again?.let { Choice.Chosen(it) } ?: choice
    }

    /** Skips a cold endpoint once this instance's share of its limit is used up. */
    private fun chooseUntried(pending: PendingRequest, accepts: (EndpointState) -> Boolean): Choice {
        val nowMillis = clock.nowMillis()
        val scope = deployment.sendScope(pending)
        val excluded = HashSet(pending.tried)
        while (true) {
            val request = pending.placeRequest(scope, nowMillis).copy(tried = excluded, accepts = accepts)
            val choice = choose(request, pending, scope, nowMillis)
            val endpoint = (choice as? Choice.Chosen)?.target?.endpoint ?: return choice.orColdLimit(excluded, pending)
            if (withinColdLimit(pending, endpoint, nowMillis)) return choice
            excluded += endpoint.entry.id
        }
    }

    /** Returns an endpoint that is expected to accept [pending] now beside an attempt at another one, or null. */
    fun successor(pending: PendingRequest): Target? = accepting(pending, pending.tried)

    /**
     * Returns an endpoint except [tried] that is expected to accept [pending] now, or null. Cold endpoints do not
     * count, because their limit may be used up.
     */
    private fun accepting(pending: PendingRequest, tried: Set<EndpointId>): Target? {
        val nowMillis = clock.nowMillis()
        val cold = deployment.endpoints.all.filter { it.isCold(nowMillis) }.map { it.entry.id }
        val accepts = deployment.releases.choices(pending.service.name, toTarget = false, nowMillis).first()
        val scope = deployment.sendScope(pending)
        val request = pending.placeRequest(scope, nowMillis)
            .copy(tried = tried + cold, isRetry = false, isSuccessor = true, accepts = accepts)
        return (choose(request, pending, scope, nowMillis) as? Choice.Chosen)?.target
    }

    /**
     * Returns that there is no endpoint for [pending] if all that could serve it are paused, or all that were not tried
     * have no permission left; otherwise null.
     */
    fun allPausedOrLimited(pending: PendingRequest): Choice.None? {
        val nowMillis = clock.nowMillis()
        val scope = deployment.sendScope(pending)
        val endpoints = deployment.endpoints.serving(pending.service.name).filter { state ->
            scope.allowedRegions.all { topology.isAllowed(state.entry.zone, it) }
        }
        val untried = endpoints.filter { it.entry.id !in pending.tried }
        return deployment.endpoints.shortestPauseMillis(endpoints, nowMillis)
            ?.let { Choice.None(UnavailableReason.PAUSED, it) }
            ?: deployment.endpoints.shortestLimitMillis(untried, nowMillis)
                ?.let { Choice.None(UnavailableReason.LIMITED, it) }
    }

    private fun choose(
        request: PlacementQuery,
        pending: PendingRequest,
        scope: SendScope,
        nowMillis: Long,
    ): Choice {
        val prompt = pending.prompt
        if (prompt == null || pending.service.engine == null) {
            return when (val place = services.choose(request, deployment.endpoints, nowMillis)) {
                is PlacementResult.Selected -> Choice.Chosen(Target(place, scope))
                is PlacementResult.Unavailable -> Choice.None(place.reason, place.retryAfterMillis)
            }
        }
        val cacheInfo = PromptCacheInfo(prompt, scope, pending, deployment, transfers)
        // A stream that has begun goes wherever it is continued soonest.
        val withTerms =
            if (request.hasBegun) request else request.copy(spillover = spillover.terms(request.service, nowMillis))
        val enginePlace =
            engines.choose(engineQuery(withTerms, cacheInfo, nowMillis), deployment.endpoints, nowMillis)
        return when (val place = enginePlace.result) {
            is PlacementResult.Unavailable -> Choice.None(place.reason, place.retryAfterMillis)
            is PlacementResult.Selected -> Choice.Chosen(target(cacheInfo, place, enginePlace, nowMillis))
        }
    }

    private fun engineQuery(
        base: PlacementQuery,
        cacheInfo: PromptCacheInfo,
        nowMillis: Long,
    ): EnginePlacementQuery = EnginePlacementQuery(
        base = base.copy(
            moreUrgent = deployment.recentDemand.moreUrgent(base.service, base.urgency, nowMillis),
        ),
        prompt = cacheInfo.prompt,
        targetWeights = deployment.weights[cacheInfo.prompt.model],
        instances = deployment.instances,
        fetchMillis = cacheInfo::fetchMillis,
        cachedProbability = {
            deployment.contexts.cachedProbability(cacheInfo.context(it), it.incarnation, nowMillis)
        },
    )

    private fun target(
        cacheInfo: PromptCacheInfo,
        place: PlacementResult.Selected,
        enginePlace: EnginePlacementResult,
        nowMillis: Long,
    ): Target {
        val side = cacheInfo.side(place.endpoint)
        val untilMillis = nowMillis + place.estimateMillis.toLong() + FETCH_SLACK_MILLIS
        val transfer = transfers.plan(cacheInfo.scope, cacheInfo.prompt, side, enginePlace.cachedAt)
            .copy(fetchDeadlineMillis = deployment.engineClock.at(untilMillis))
        return Target(
            place = place,
            scope = cacheInfo.scope,
            weights = enginePlace.weights,
            namespace = side.namespace,
            transfer = transfer,
            prefill = PlannedPrefill(
                tokens = cacheInfo.prompt.promptTokens - transfer.fetchedTokens,
                context = cacheInfo.context(place.endpoint),
            ),
        )
    }

    private fun withinColdLimit(pending: PendingRequest, endpoint: EndpointState, nowMillis: Long): Boolean {
        if (!endpoint.isCold(nowMillis)) return true
        val bound = ColdEndpointLimit(pending.service.coldRequestsPerSecond, settings.cold.overage, settings.cold.slack)
        return cold.tryTake(endpoint.entry.id, bound, deployment.knownInstances.part(nowMillis), nowMillis)
    }

    private fun Choice.orColdLimit(excluded: Set<*>, pending: PendingRequest): Choice =
        if (this is Choice.None && excluded.size > pending.tried.size) {
            Choice.None(UnavailableReason.COLD, COLD_RETRY_MILLIS)
        } else {
            this
        }

    private companion object {
        // Requests for older weights stop well before the limit, because a request takes time to reach its endpoint.
        const val OLDER_WEIGHTS_NUMERATOR = 7
        const val OLDER_WEIGHTS_DENOMINATOR = 10

        // How much longer than estimated a fetch over a slow link may take. After that the engine prefills the prompt
        // itself, which takes 150 ms for a long context.
        const val FETCH_SLACK_MILLIS = 250L

        // The cold limit is a rate per second, so that requests are admitted again within a second.
        const val COLD_RETRY_MILLIS = 600L
    }
}
