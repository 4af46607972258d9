package org.parsleymoor.placement

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.apache.commons.rng.UniformRandomProvider

/**
 * Minimises the cost of a request: the estimated time to first token plus the prices of the shared resources it would
 * use. Chooses at random among the engines of near-equal cost, so that gateways with the same outdated view do not all
 * choose the same engine.
 */
public class CostBasedPolicy(private val settings: PlacementSettings = PlacementSettings()) : PlacementPolicy() {
    override val name: String get() = "parsleymoor"

    override fun place(
        request: PlacementRequest,
        fleet: FleetView,
        random: UniformRandomProvider,
    ): Result<Placement, NoEngineAvailable> {
        val estimator = FirstTokenEstimator(settings, request, fleet)
        val cachedPieces = cachedPieces(request, fleet)
        val costs = DoubleArray(fleet.engines.size) { index ->
            val engine = fleet.engines[index]
            if (engine.acceptsWork) estimator.cost(engine, cachedPieces[index]) else Double.POSITIVE_INFINITY
        }
        val chosen = sampleNearLowest(costs, random) ?: return Err(NoEngineAvailable(fleet.engines.size))
        val engine = fleet.engines[chosen]
        val plan = estimator.bestImport(engine, cachedPieces[chosen])
        return Ok(estimator.placement(engine, cachedPieces[chosen], plan))
    }

    private fun cachedPieces(request: PlacementRequest, fleet: FleetView): IntArray {
        val cachedPieces = IntArray(fleet.engines.size)
        for (match in request.matches) {
            val index = fleet.engineIndex(match.endpoint)
            if (index >= 0) cachedPieces[index] = match.pieces
        }
        return cachedPieces
    }

    /** Returns the index of a random engine among those of near-lowest cost, or null when none accepts work. */
    private fun sampleNearLowest(costs: DoubleArray, random: UniformRandomProvider): Int? {
        val lowestCost = costs.minOrNull()?.takeIf { it.isFinite() } ?: return null
        val limit = lowestCost + maxOf(settings.nearEqualMillis, lowestCost * settings.nearEqualShare)
        var candidates = 0
        var chosen = 0
        for (index in costs.indices) {
            if (costs[index] > limit) continue
            candidates++
            if (random.nextInt(candidates) == 0) chosen = index
        }
        return chosen
    }
}
