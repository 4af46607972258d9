package org.parsleymoor.placement

import org.parsleymoor.core.RegionId

/** Estimates each part of the time to first token of [request] on the engines of [fleet]. */
internal class FirstTokenEstimator(
    private val settings: PlacementSettings,
    private val request: PlacementRequest,
    private val fleet: FleetView,
) {
    private val offers: List<ImportCandidate> = request.matches.mapNotNull { match ->
        val store = fleet.store(match.endpoint)?.takeIf { it.available }
        store?.let { ImportCandidate(it, match.blocks, settings.blockBytes) }
    }

    /** Returns what the engines are compared by: estimated time plus prices, in milliseconds. */
    fun cost(engine: EngineView, held: Int): Double {
        val plan = bestImport(engine, held)
        val wait = waitMillis(engine)
        val prefill = prefillMillis(engine, held, plan)
        val ready = maxOf(wait, plan?.arrivalMillis ?: 0.0)
        val time = engine.correction * (ready + prefill) + networkMillis(engine.region)
        return time + settings.prefillPrice * prefill + linkPrice(engine.region) + importPrice(plan)
    }

    /** Returns the placement on [engine], which holds the first [held] pieces, with the import [plan]. */
    fun placement(engine: EngineView, held: Int, plan: ImportPlan?): Placement {
        val wait = waitMillis(engine)
        val prefix = maxOf(0.0, (plan?.arrivalMillis ?: 0.0) - wait)
        val prefill = prefillMillis(engine, held, plan)
        val network = networkMillis(engine.region)
        val total = engine.correction * (wait + prefix + prefill) + network
        val estimate = Estimate(wait, prefix, prefill, network, total)
        val recomputed = request.contextPieces - held - (plan?.count ?: 0)
        return Placement(engine.endpoint, plan?.source() ?: PrefixSource.EngineOnly, held, recomputed, estimate)
    }

    /** Returns the import that costs least including its price, or null when recomputing costs no more. */
    fun bestImport(engine: EngineView, held: Int): ImportPlan? {
        if (offers.isEmpty()) return null
        val piece = pieceMillis(engine) * (1 + settings.prefillPrice)
        val wait = waitMillis(engine)
        var bestCost = wait + (request.contextPieces - held) * piece
        var best: ImportPlan? = null
        for (offer in offers) {
            val usable = offer.blocks.size > held && offer.store.region.value == engine.region.value
            if (!usable) continue
            val arrivals = offer.arrivals(held)
            val count = bestCount(arrivals, wait, piece)
            val left = request.contextPieces - held - count
            val cost = maxOf(wait, arrivals[count]) + left * piece +
                settings.storeLinkPrice * offer.linkMillis(held, count)
            if (count > 0 && cost < bestCost) {
                bestCost = cost
                best = ImportPlan(offer, held, count, arrivals[count])
            }
        }
        return best
    }

    private fun bestCount(arrivals: DoubleArray, waitMillis: Double, pieceMillis: Double): Int {
        var bestCount = 0
        var bestMillis = Double.POSITIVE_INFINITY
        for (count in arrivals.indices) {
            val millis = maxOf(waitMillis, arrivals[count]) - count * pieceMillis
            if (millis <= bestMillis) {
                bestMillis = millis
                bestCount = count
            }
        }
        return bestCount
    }

    /** The text crosses the link when the engine is in another region; what the budget has queued goes first. */
    private fun networkMillis(region: RegionId): Double {
        if (region.value == request.region.value) return 0.0
        val link = fleet.regionLink
        val sending = request.crossRegionTextBytes * MILLIS_PER_SECOND / link.bytesPerSecond
        return link.waitMillis + sending + 2 * link.latencyMillis
    }

    private fun linkPrice(region: RegionId): Double {
        if (region.value == request.region.value) return 0.0
        return request.crossRegionTextBytes * settings.regionLinkPriceMillisPerMegabyte / BYTES_PER_MEGABYTE
    }

    private fun importPrice(plan: ImportPlan?): Double =
        if (plan == null) 0.0 else settings.storeLinkPrice * plan.linkMillis

    private fun prefillMillis(engine: EngineView, held: Int, plan: ImportPlan?): Double {
        val pieces = request.contextPieces - held - (plan?.count ?: 0)
        val remainder = request.remainderTokens * MILLIS_PER_SECOND / engine.prefillTokensPerSecond
        return pieces * pieceMillis(engine) + remainder
    }

    private fun pieceMillis(engine: EngineView): Double =
        settings.pieceTokens * MILLIS_PER_SECOND / engine.prefillTokensPerSecond

    private fun waitMillis(engine: EngineView): Double =
        engine.queuedPrefillTokens * MILLIS_PER_SECOND / engine.prefillTokensPerSecond

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
        const val BYTES_PER_MEGABYTE = 1_000_000.0
    }
}
