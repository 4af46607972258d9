package org.parsleymoor.placement

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.apache.commons.rng.UniformRandomProvider

/** Baseline: the engines that accept work, in turn. */
public class RoundRobinPolicy : PlacementPolicy() {
    private var next = 0

    override val name: String get() = "round-robin"

    override fun place(
        request: PlacementRequest,
        fleet: FleetView,
        random: UniformRandomProvider,
    ): Result<Placement, NoEngineAvailable> {
        val engines = fleet.engines
        for (step in engines.indices) {
            val engine = engines[(next + step) % engines.size]
            if (!engine.acceptsWork) continue
            next = (next + step + 1) % engines.size
            return Ok(placementOnEngine(request, fleet, engine))
        }
        return Err(NoEngineAvailable(engines.size))
    }
}
