package org.parsleymoor.placement

import org.apache.commons.rng.UniformRandomProvider

/**
 * Returns the engine with the fewest queued prefill tokens, among these the one with the fewest running requests, or
 * null when [engines] is empty. Ties are broken at random.
 */
internal fun leastLoaded(engines: List<EngineView>, random: UniformRandomProvider): EngineView? {
    val fewestQueued = engines.minOfOrNull { it.queuedPrefillTokens } ?: return null
    val leastQueued = engines.filter { it.queuedPrefillTokens == fewestQueued }
    val fewestRunning = leastQueued.minOf { it.running }
    val tied = leastQueued.filter { it.running == fewestRunning }
    return tied[random.nextInt(tied.size)]
}

/** Returns the placement on [engine] without an import from a store. */
internal fun placementOnEngine(request: PlacementRequest, fleet: FleetView, engine: EngineView): Placement {
    val estimator = FirstTokenEstimator(PlacementSettings(), request, fleet)
    val cachedPieces = request.matches.firstOrNull { it.endpoint.value == engine.endpoint.value }?.pieces ?: 0
    return estimator.placement(engine, cachedPieces, null)
}
