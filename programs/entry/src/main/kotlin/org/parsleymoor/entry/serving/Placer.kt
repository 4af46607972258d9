package org.parsleymoor.entry.serving

import org.parsleymoor.core.Clock
import org.parsleymoor.entry.EntrySettings
import org.parsleymoor.relay.fleet.EndpointState
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
import org.parsleymoor.relay.prompt.PromptContext

/** Outcome of choosing an endpoint. */
internal sealed interface Choice {
    class Chosen(val target: Target) : Choice

    data class None(val reason: UnavailableReason, val retryAfterMillis: Long) : Choice
}

/** Chooses endpoints with the decisions of the relay library and what this instance believes. */
internal class Placer(
    private val settings: EntrySettings,
    private val beliefs: Beliefs,
    private val clock: Clock,
) {
    private val topology = Topology(settings.zone, settings.zones)
    private val transfers = CacheTransfers(topology, beliefs, clock)
    private val services = ServicePlacement(topology)
    private val engines = EnginePlacement(
        topology,
        EnginePlacementSettings(olderWeightsLimitMillis = settings.times.weightsMillis * OLDER_WEIGHTS_PARTS / PARTS),
    )
    private val cold = ColdEndpointBudget(settings.instance)

    /** Chooses the endpoint of [work]; a cold one only within this instance's share of its limit. */
    fun choose(work: Work): Choice {
        val nowMillis = clock.nowMillis()
        val passedOver = HashSet(work.tried)
        while (true) {
            val request = work.placeRequest(nowMillis).copy(tried = passedOver)
            val choice = choose(request, work.prompt, work, nowMillis)
            val endpoint = (choice as? Choice.Chosen)?.target?.endpoint ?: return choice.orCold(passedOver, work)
            if (mayTake(work, endpoint, nowMillis)) return choice
            passedOver += endpoint.entry.id
        }
    }

    private fun choose(request: PlacementQuery, prompt: PromptContext?, work: Work, nowMillis: Long): Choice {
        if (prompt == null || work.service.engine == null) {
            return when (val place = services.choose(request, beliefs.endpoints, nowMillis)) {
                is PlacementResult.Selected -> Choice.Chosen(Target(place.endpoint, place.estimateMillis))
                is PlacementResult.Unavailable -> Choice.None(place.reason, place.retryAfterMillis)
            }
        }
        val named = beliefs.weights[prompt.model]
        val view = PromptView(work, prompt, beliefs, transfers)
        val wanted = EnginePlacementQuery(
            base = request,
            prompt = prompt,
            targetWeights = named,
            instances = beliefs.instances,
            fetchMillis = view::fetchMillis,
            cachedProbability = { beliefs.contexts.cachedProbability(view.context(it), it.incarnation, nowMillis) },
        )
        val found = engines.choose(wanted, beliefs.endpoints, nowMillis)
        return when (val place = found.result) {
            is PlacementResult.Unavailable -> Choice.None(place.reason, place.retryAfterMillis)
            is PlacementResult.Selected -> Choice.Chosen(target(view, place, found, nowMillis))
        }
    }

    private fun target(
        view: PromptView,
        place: PlacementResult.Selected,
        found: EnginePlacementResult,
        nowMillis: Long,
    ): Target {
        val side = view.side(place.endpoint)
        val untilMillis = nowMillis + place.estimateMillis.toLong() + FETCH_SLACK_MILLIS
        val transfer = transfers.plan(view.work, view.prompt, side, found.cachedAt)
            .copy(untilMillis = beliefs.engineClock.at(untilMillis))
        return Target(
            endpoint = place.endpoint,
            estimateMillis = place.estimateMillis,
            weights = found.weights,
            namespace = side.namespace,
            transfer = transfer,
            reading = PlannedReading(
                tokens = view.prompt.promptTokens - transfer.fetchedTokens,
                context = view.context(place.endpoint),
            ),
        )
    }

    private fun mayTake(work: Work, endpoint: EndpointState, nowMillis: Long): Boolean {
        if (!endpoint.isCold(nowMillis)) return true
        val bound = ColdEndpointLimit(work.service.coldRequestsPerSecond, settings.cold.overage, settings.cold.slack)
        return cold.tryTake(endpoint.entry.id, bound, beliefs.members.orEmpty(), nowMillis)
    }

    private fun Choice.orCold(passedOver: Set<*>, work: Work): Choice =
        if (this is Choice.None && passedOver.size > work.tried.size) {
            Choice.None(UnavailableReason.COLD, COLD_RETRY_MILLIS)
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
