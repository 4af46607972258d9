package org.parsleymoor.placement

import org.apache.commons.rng.UniformRandomProvider

/** Returns the engine with the least queued prefill, then the fewest running requests; equal ones at random. */
internal fun leastLoaded(engines: List<EngineView>, random: UniformRandomProvider): EngineView? {
    val queued = engines.minOfOrNull { it.queuedPrefillTokens } ?: return null
    val shortest = engines.filter { it.queuedPrefillTokens == queued }
    val running = shortest.minOf { it.running }
    val equal = shortest.filter { it.running == running }
    return equal[random.nextInt(equal.size)]
}

/** Returns the placement on [engine] without any import. */
internal fun placementOnEngine(request: PlacementRequest, fleet: FleetView, engine: EngineView): Placement {
    val estimator = FirstTokenEstimator(PlacementSettings(), request, fleet)
    val held = request.matches.firstOrNull { it.endpoint.value == engine.endpoint.value }?.pieces ?: 0
    return estimator.placement(engine, held, null)
}
