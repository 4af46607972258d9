package org.parsleymoor.bench

import org.parsleymoor.context.PieceHash
import java.util.TreeSet

/** The bounds that no policy can pass, from full knowledge of all requests. */
internal data class OfflineBounds(
    val idleTimeToFirstTokenP95Millis: Double,
    val optimalRecomputedShare: Double,
    val minimalRegionLinkBytes: Long,
)

/** Computes [OfflineBounds] for the requests of a workload. */
internal class OfflineOptimum(private val workload: Workload, private val requests: List<SimulatedRequest>) {
    private val engineCount = workload.places.engines.sum()
    private val storeCount = workload.places.stores.sum()
    private val measured = requests.filter { it.arrivalMillis >= workload.measuredFromMillis }

    fun bounds(): OfflineBounds {
        val engineSpace = engineCount * workload.engines.cachePieces
        val storeSpace = storeCount * (workload.stores.memoryPieces + workload.stores.diskPieces)
        val engineMisses = furthestNextUse(engineSpace)
        val allMisses = furthestNextUse(engineSpace + storeSpace)
        val pieces = measured.sumOf { it.pieces.size }
        val recomputed = measured.sumOf { allMisses.first[it.number] + allMisses.again[it.number] }
        val idle = measured.map { idleMillis(it, engineMisses, allMisses) }
        val share = recomputed.toDouble() / pieces
        return OfflineBounds(quantile(idle, P95), share, minimalRegionLinkBytes())
    }

    /** An idle fleet holds what the optimum holds: on the engine, else in store memory behind an unused link. */
    private fun idleMillis(request: SimulatedRequest, engine: Misses, all: Misses): Double {
        val computed = all.again[request.number] + all.first[request.number]
        val onEngine = request.pieces.size - engine.again[request.number] - engine.first[request.number]
        val imported = maxOf(0, request.pieces.size - onEngine - computed)
        val pieceMillis = PIECE_TOKENS * MILLIS_PER_SECOND / workload.engines.prefillTokensPerSecond
        val importMillis = workload.stores.blockBytes * MILLIS_PER_SECOND / workload.stores.memoryBytesPerSecond
        val remainder = request.remainderTokens * MILLIS_PER_SECOND / workload.engines.prefillTokensPerSecond
        val network = 2 * workload.links.zoneMillis + if (request.mustCross) 2 * workload.links.regionMillis else 0.0
        return imported * minOf(pieceMillis, importMillis) + computed * pieceMillis + remainder + network
    }

    /** Each text piece that must cross counts once; the end of the prompt and the response always cross. */
    private fun minimalRegionLinkBytes(): Long {
        val sent = HashSet<Pair<String, PieceHash>>()
        var bytes = 0L
        for (request in requests.filter { it.mustCross }) {
            val fresh = request.pieces.count { sent.add(request.callerRegion to it) }
            if (request.arrivalMillis < workload.measuredFromMillis) continue
            bytes += fresh * PIECE_BYTES + request.tailBytes(workload.links.bytesPerToken)
        }
        return bytes
    }

    /** Evicts the piece whose next use is furthest away, and never keeps a piece with a later use than all held. */
    private fun furthestNextUse(space: Int): Misses {
        val accesses = requests.flatMap { request -> request.pieces.map { it to request.number } }
        val nextUse = nextUses(accesses.map { it.first })
        val held = HashMap<PieceHash, Int>()
        val byNextUse = TreeSet<Use>(compareBy<Use> { it.next }.thenBy { it.position })
        val misses = Misses(IntArray(requests.size), IntArray(requests.size))
        val seen = HashSet<PieceHash>()
        accesses.forEachIndexed { position, (piece, number) ->
            val known = held.remove(piece)
            if (known != null) byNextUse.remove(Use(position, known, piece))
            if (known == null) misses.count(number, isFirst = seen.add(piece))
            if (nextUse[position] < Int.MAX_VALUE) {
                held[piece] = position
                byNextUse += Use(nextUse[position], position, piece)
            }
            if (held.size > space) byNextUse.pollLast()?.let { held.remove(it.piece) }
        }
        return misses
    }

    private fun nextUses(pieces: List<PieceHash>): IntArray {
        val next = IntArray(pieces.size)
        val later = HashMap<PieceHash, Int>()
        for (position in pieces.indices.reversed()) {
            next[position] = later.put(pieces[position], position) ?: Int.MAX_VALUE
        }
        return next
    }

    private class Use(val next: Int, val position: Int, val piece: PieceHash)

    /** Misses of each request: pieces that nobody had computed before, and pieces computed again. */
    private class Misses(val first: IntArray, val again: IntArray) {
        fun count(number: Int, isFirst: Boolean) {
            if (isFirst) first[number]++ else again[number]++
        }
    }
}

internal const val PIECE_BYTES = 8_000L
internal const val PIECE_TOKENS = 2_000
internal const val P50 = 0.5
internal const val P95 = 0.95
internal const val P99 = 0.99

/** The text after the last full piece and the text of the response. */
internal fun SimulatedRequest.tailBytes(bytesPerToken: Int): Long =
    (remainderTokens + outputTokens).toLong() * bytesPerToken

/** Returns the smallest value that a share [share] of [values] does not exceed; 0 when there are none. */
internal fun quantile(values: List<Double>, share: Double): Double {
    if (values.isEmpty()) return 0.0
    val sorted = values.sorted()
    val rank = kotlin.math.ceil(share * sorted.size).toInt()
    return sorted[maxOf(0, rank - 1)]
}
