package org.parsleymoor.placement

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.apache.commons.rng.UniformRandomProvider

/** Baseline: the least loaded of the engines that hold the longest prefix. */
public class PrefixAffinityPolicy : PlacementPolicy() {
    override val name: String get() = "prefix-affinity"

    override fun place(
        request: PlacementRequest,
        fleet: FleetView,
        random: UniformRandomProvider,
    ): Result<Placement, NoEngineAvailable> {
        val cachedPieces = request.matches.associate { it.endpoint.value to it.pieces }
        val accepting = fleet.engines.filter { it.acceptsWork }
        val longestPrefix = accepting.maxOfOrNull { cachedPieces[it.endpoint.value] ?: 0 } ?: 0
        val engine = leastLoaded(accepting.filter { (cachedPieces[it.endpoint.value] ?: 0) == longestPrefix }, random)
            ?: return Err(NoEngineAvailable(fleet.engines.size))
        return Ok(placementOnEngine(request, fleet, engine))
    }
}
