package org.parsleymoor.placement

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.apache.commons.rng.UniformRandomProvider

/**
 * Minimises the estimated time to first token plus the prices of the shared resources that the request would use, and
 * samples among the engines within a small distance of the best, so that gateways with the same lagging view do not all
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
        val held = heldPieces(request, fleet)
        val costs = DoubleArray(fleet.engines.size) { index ->
            val engine = fleet.engines[index]
            if (engine.acceptsWork) estimator.cost(engine, held[index]) else Double.POSITIVE_INFINITY
        }
        val chosen = sample(costs, random) ?: return Err(NoEngineAvailable(fleet.engines.size))
        val engine = fleet.engines[chosen]
        val plan = estimator.bestImport(engine, held[chosen])
        return Ok(estimator.placement(engine, held[chosen], plan))
    }

    private fun heldPieces(request: PlacementRequest, fleet: FleetView): IntArray {
        val held = IntArray(fleet.engines.size)
        for (match in request.matches) {
            val index = fleet.engineIndex(match.endpoint)
            if (index >= 0) held[index] = match.pieces
        }
        return held
    }

    /** Returns the position of one of the near-equal best, each with the same probability; null when none accepts. */
    private fun sample(costs: DoubleArray, random: UniformRandomProvider): Int? {
        val best = costs.minOrNull()?.takeIf { it.isFinite() } ?: return null
        val limit = best + maxOf(settings.nearEqualMillis, best * settings.nearEqualShare)
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
