package org.parsleymoor.bench

import org.parsleymoor.core.RegionId
import org.parsleymoor.placement.RegionLinkBudget
import org.parsleymoor.placement.RegionLinkSettings
import org.parsleymoor.placement.RegionLinkView

/** A gateway's way to engines of its own and of the other region. */
internal class RegionSender(private val region: RegionId, private val fleet: SimulatedFleet) {
    private val links = fleet.workload.links
    private val budget = RegionLinkBudget(RegionLinkSettings(links.regionBytesPerSecond))
    private val sendsTextOnce = fleet.options.sendsTextOnce

    init {
        budget.divide(fleet.gatewaysIn(region), 0)
    }

    fun view(): RegionLinkView = RegionLinkView(budget.bytesPerSecond, budget.waitMillis(fleet.events.now))

    /** Returns the bytes that the other region lacks; without text hashes that is the whole prompt. */
    fun textBytes(request: SimulatedRequest): Long {
        val tail = request.remainderTokens.toLong() * links.bytesPerToken
        if (!sendsTextOnce) return request.pieces.size * PIECE_BYTES + tail
        val other = fleet.texts.entries.first { it.key != region.value }.value
        return other.lacking(request.pieces) * PIECE_BYTES + request.pieces.size * HASH_BYTES + tail
    }

    /** Sends [request] to [engine]; returns when it arrives, in milliseconds from now. */
    fun send(request: SimulatedRequest, engine: SimulatedEngine): Double {
        if (engine.region.value == region.value) return links.zoneMillis
        val bytes = textBytes(request)
        fleet.measures.crossed(request, bytes + request.outputTokens.toLong() * links.bytesPerToken)
        val asking = if (sendsTextOnce) 2 * links.regionMillis else 0.0
        if (sendsTextOnce) fleet.texts.getValue(engine.region.value).add(request.pieces)
        return budget.reserve(bytes, fleet.events.now) + asking + links.regionMillis
    }

    fun returnMillis(engine: SimulatedEngine): Double =
        if (engine.region.value == region.value) links.zoneMillis else links.regionMillis

    private companion object {
        const val HASH_BYTES = 16L
    }
}
