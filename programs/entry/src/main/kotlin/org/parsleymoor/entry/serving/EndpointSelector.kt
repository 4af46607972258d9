package org.parsleymoor.entry.serving

import org.parsleymoor.core.Clock
import org.parsleymoor.entry.EntrySettings
import org.parsleymoor.relay.fleet.EndpointState
import org.parsleymoor.relay.limits.ColdBound
import org.parsleymoor.relay.limits.ColdShare
import org.parsleymoor.relay.placement.EnginePlace
import org.parsleymoor.relay.placement.EnginePlacement
import org.parsleymoor.relay.placement.EnginePlacementSettings
import org.parsleymoor.relay.placement.EngineRequest
import org.parsleymoor.relay.placement.NoPlaceReason
import org.parsleymoor.relay.placement.Place
import org.parsleymoor.relay.placement.PlaceRequest
import org.parsleymoor.relay.placement.ServicePlacement
import org.parsleymoor.relay.placement.Topology
import org.parsleymoor.relay.prompt.PromptContext

/** Outcome of choosing an endpoint. */
internal sealed interface Choice {
    class Chosen(val target: Target) : Choice

    data class None(val reason: NoPlaceReason, val retryAfterMillis: Long) : Choice
}

/** Chooses endpoints with the decisions of the relay library and what this instance believes. */
internal class EndpointSelector(
    private val settings: EntrySettings,
    private val deployment: DeploymentView,
    private val clock: Clock,
) {
    private val topology = Topology(settings.zone, settings.zones)
    private val transfers = CacheTransferPlanner(topology, deployment, clock)
    private val services = ServicePlacement(topology)
    private val engines = EnginePlacement(
        topology,
        EnginePlacementSettings(olderWeightsLimitMillis = settings.times.weightsMillis * OLDER_WEIGHTS_PARTS / PARTS),
    )
    private val cold = ColdShare(settings.instance)

    /** Chooses the endpoint of [pending]; a cold one only within this instance's share of its limit. */
    fun choose(pending: PendingRequest): Choice {
        val nowMillis = clock.nowMillis()
        val passedOver = HashSet(pending.tried)
        while (true) {
            val request = pending.placeRequest(nowMillis).copy(tried = passedOver)
            val choice = choose(request, pending.prompt, pending, nowMillis)
            val endpoint = (choice as? Choice.Chosen)?.target?.endpoint ?: return choice.orCold(passedOver, pending)
            if (mayTake(pending, endpoint, nowMillis)) return choice
            passedOver += endpoint.entry.id
        }
    }

    private fun choose(request: PlaceRequest, prompt: PromptContext?, pending: PendingRequest, nowMillis: Long): Choice {
        if (prompt == null || pending.service.engine == null) {
            return when (val place = services.choose(request, deployment.endpoints, nowMillis)) {
                is Place.At -> Choice.Chosen(Target(place.endpoint, place.estimateMillis))
                is Place.Nowhere -> Choice.None(place.reason, place.retryAfterMillis)
            }
        }
        val named = deployment.weights[prompt.model]
        val view = PromptCacheInfo(pending, prompt, deployment, transfers)
        val wanted = EngineRequest(
            request = request,
            prompt = prompt,
            named = named,
            instances = deployment.instances,
            fetchMillis = view::fetchMillis,
            heldShare = { deployment.contexts.heldShare(view.context(it), it.start, nowMillis) },
        )
        val found = engines.choose(wanted, deployment.endpoints, nowMillis)
        return when (val place = found.place) {
            is Place.Nowhere -> Choice.None(place.reason, place.retryAfterMillis)
            is Place.At -> Choice.Chosen(target(view, place, found, nowMillis))
        }
    }

    private fun target(view: PromptCacheInfo, place: Place.At, found: EnginePlace, nowMillis: Long): Target {
        val side = view.side(place.endpoint)
        val untilMillis = nowMillis + place.estimateMillis.toLong() + FETCH_SLACK_MILLIS
        val transfer = transfers.plan(view.pending, view.prompt, side, found.cachedAt)
            .copy(untilMillis = deployment.engineClock.at(untilMillis))
        return Target(
            endpoint = place.endpoint,
            estimateMillis = place.estimateMillis,
            weights = found.weights,
            namespace = side.namespace,
            transfer = transfer,
            reading = PlannedPrefill(
                tokens = view.prompt.promptTokens - transfer.fetchedTokens,
                context = view.context(place.endpoint),
            ),
        )
    }

    private fun mayTake(pending: PendingRequest, endpoint: EndpointState, nowMillis: Long): Boolean {
        if (!endpoint.isCold(nowMillis)) return true
        val bound = ColdBound(pending.service.coldRequestsPerSecond, settings.cold.overage, settings.cold.slack)
        return cold.tryTake(endpoint.entry.id, bound, deployment.members.orEmpty(), nowMillis)
    }

    private fun Choice.orCold(passedOver: Set<*>, pending: PendingRequest): Choice =
        if (this is Choice.None && passedOver.size > pending.tried.size) {
            Choice.None(NoPlaceReason.COLD, COLD_RETRY_MILLIS)
        } else {
            this
        }

    private companion object {
        // Work on older weights stops well before the limit, because a request takes time to reach its endpoint.
        const val OLDER_WEIGHTS_PARTS = 7
        const val PARTS = 10

        // A fetch over a slow link may take this much longer than expected; then the engine reads the prompt, which
        // takes 150 ms for a long context.
        const val FETCH_SLACK_MILLIS = 250L

        // The limit is per second.
        const val COLD_RETRY_MILLIS = 600L
    }
}
