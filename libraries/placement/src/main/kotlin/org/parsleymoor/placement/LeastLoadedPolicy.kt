package org.parsleymoor.placement

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.apache.commons.rng.UniformRandomProvider

/** Baseline: the engine with the fewest queued prefill tokens, then the fewest running requests. */
public class LeastLoadedPolicy : PlacementPolicy() {
    override val name: String get() = "least-loaded"

    override fun place(
        request: PlacementRequest,
        fleet: FleetView,
        random: UniformRandomProvider,
    ): Result<Placement, NoEngineAvailable> {
        val engine = leastLoaded(fleet.engines.filter { it.acceptsWork }, random)
            ?: return Err(NoEngineAvailable(fleet.engines.size))
        return Ok(placementOnEngine(request, fleet, engine))
    }
}
