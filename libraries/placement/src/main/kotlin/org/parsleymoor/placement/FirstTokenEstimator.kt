package org.parsleymoor.placement

import org.parsleymoor.core.RegionId

/** Estimates the time to first token of [request] on the engines of [fleet], and the cost of each placement. */
internal class FirstTokenEstimator(
    private val settings: PlacementSettings,
    private val request: PlacementRequest,
    private val fleet: FleetView,
) {
    private val candidates: List<ImportCandidate> = request.matches.mapNotNull { match ->
        val store = fleet.store(match.endpoint)?.takeIf { it.available }
        store?.let { ImportCandidate(it, match.blocks, settings.blockBytes) }
    }

    /** Returns estimated time plus prices in milliseconds on [engine], which holds the first [cachedPieces] pieces. */
    fun cost(engine: EngineView, cachedPieces: Int): Double {
        val plan = bestImport(engine, cachedPieces)
        val wait = waitMillis(engine)
        val prefill = prefillMillis(engine, cachedPieces, plan)
        val ready = maxOf(wait, plan?.arrivalMillis ?: 0.0)
        val time = engine.correction * (ready + prefill) + networkMillis(engine.region)
        return time + settings.prefillPrice * prefill + linkPrice(engine.region) + importPrice(plan)
    }

    /** Returns the placement on [engine], which holds the first [cachedPieces] pieces, with the import [plan]. */
    fun placement(engine: EngineView, cachedPieces: Int, plan: ImportPlan?): Placement {
        val wait = waitMillis(engine)
        val prefix = maxOf(0.0, (plan?.arrivalMillis ?: 0.0) - wait)
        val prefill = prefillMillis(engine, cachedPieces, plan)
        val network = networkMillis(engine.region)
        val total = engine.correction * (wait + prefix + prefill) + network
        val estimate = Estimate(wait, prefix, prefill, network, total)
        val recomputed = request.contextPieces - cachedPieces - (plan?.count ?: 0)
        return Placement(engine.endpoint, plan?.source() ?: PrefixSource.EngineOnly, cachedPieces, recomputed, estimate)
    }

    /** Returns the import of lowest cost, its price included, or null when recomputing costs no more. */
    fun bestImport(engine: EngineView, cachedPieces: Int): ImportPlan? {
        if (candidates.isEmpty()) return null
        val pieceCost = pieceMillis(engine) * (1 + settings.prefillPrice)
        val wait = waitMillis(engine)
        var bestCost = wait + (request.contextPieces - cachedPieces) * pieceCost
        var best: ImportPlan? = null
        for (candidate in candidates) {
            val usable = candidate.blocks.size > cachedPieces && candidate.store.region.value == engine.region.value
            if (!usable) continue
            val arrivals = candidate.arrivals(cachedPieces)
            val count = bestCount(arrivals, wait, pieceCost)
            val recomputed = request.contextPieces - cachedPieces - count
            val cost = maxOf(wait, arrivals[count]) + recomputed * pieceCost +
                settings.storeLinkPrice * candidate.linkMillis(cachedPieces, count)
            if (count > 0 && cost < bestCost) {
                bestCost = cost
                best = ImportPlan(candidate, cachedPieces, count, arrivals[count])
            }
        }
        return best
    }

    /** Returns the number of blocks to import at which waiting for them and recomputing the rest costs least. */
    private fun bestCount(arrivals: DoubleArray, waitMillis: Double, pieceCost: Double): Int {
        var bestCount = 0
        var lowestCost = Double.POSITIVE_INFINITY
        for (count in arrivals.indices) {
            val cost = maxOf(waitMillis, arrivals[count]) - count * pieceCost
            if (cost <= lowestCost) {
                lowestCost = cost
                bestCount = count
            }
        }
        return bestCount
    }

    /** For an engine in another region: the queue of the link budget, the transfer of the text, and one round trip. */
    private fun networkMillis(region: RegionId): Double {
        if (region.value == request.region.value) return 0.0
        val link = fleet.regionLink
        val transferMillis = request.crossRegionTextBytes * MILLIS_PER_SECOND / link.bytesPerSecond
        return link.waitMillis + transferMillis + 2 * link.latencyMillis
    }

    private fun linkPrice(region: RegionId): Double {
        if (region.value == request.region.value) return 0.0
        return request.crossRegionTextBytes * settings.regionLinkPriceMillisPerMegabyte / BYTES_PER_MEGABYTE
    }

    private fun importPrice(plan: ImportPlan?): Double =
        if (plan == null) 0.0 else settings.storeLinkPrice * plan.linkMillis

    private fun prefillMillis(engine: EngineView, cachedPieces: Int, plan: ImportPlan?): Double {
        val pieces = request.contextPieces - cachedPieces - (plan?.count ?: 0)
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
