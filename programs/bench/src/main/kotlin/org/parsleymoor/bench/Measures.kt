package org.parsleymoor.bench

import org.parsleymoor.context.PieceHash

/** Collects what a run shows about its measured requests, and counts broken invariants. */
internal class Measures(private val workload: Workload) {
    private val computedBefore = HashSet<PieceHash>()
    private var pieces = 0L
    private var computed = 0L
    private var computedAgain = 0L
    private val waits = ArrayList<Pair<Double, Double>>()
    var requests: Int = 0
        private set
    var refused: Int = 0
        private set
    var regionLinkBytes: Long = 0
        private set
    var violations: Int = 0
        private set
    private val finished = HashSet<Int>()

    /** Pieces that engines prefilled, first computations included, as engines report them. */
    val recomputedShare: Double get() = if (pieces == 0L) 0.0 else computed.toDouble() / pieces

    /** Pieces that engines prefilled although an engine had done so before. */
    val computedAgainShare: Double get() = if (pieces == 0L) 0.0 else computedAgain.toDouble() / pieces
    val answered: Int get() = waits.size

    fun arrived(request: SimulatedRequest) {
        if (isMeasured(request)) requests++
    }

    /** A request of which the engine holds the first [held] pieces begins its prefill. */
    fun computed(request: SimulatedRequest, held: Int) {
        val missing = request.pieces.drop(held)
        val again = missing.count { !computedBefore.add(it) }
        if (!isMeasured(request)) return
        pieces += request.pieces.size
        computed += missing.size
        computedAgain += again
    }

    fun answered(request: SimulatedRequest, timeToFirstTokenMillis: Double) {
        if (!finished.add(request.number)) violations++
        if (isMeasured(request)) waits += request.arrivalMillis to timeToFirstTokenMillis
    }

    fun refused(request: SimulatedRequest) {
        if (!finished.add(request.number)) violations++
        if (isMeasured(request)) refused++
    }

    fun crossed(request: SimulatedRequest, bytes: Long) {
        if (isMeasured(request)) regionLinkBytes += bytes
    }

    /** Checks I4 and I5 when an engine takes in a request. */
    fun submitted(engine: SimulatedEngine, nowMillis: Double) {
        val out = engine.outSinceMillis
        if (out != null && nowMillis - out > LEAVE_MILLIS) violations++
        if (engine.isCold && engine.running > COLD_LIMIT) violations++
    }

    /** Returns the quantile of the times to first token of requests that arrived in the given part of the run. */
    fun timeToFirstToken(share: Double, fromMillis: Double = 0.0, toMillis: Double = Double.MAX_VALUE): Double =
        quantile(waits.filter { it.first >= fromMillis && it.first < toMillis }.map { it.second }, share)

    private fun isMeasured(request: SimulatedRequest): Boolean = request.arrivalMillis >= workload.measuredFromMillis

    private companion object {
        const val LEAVE_MILLIS = 3_000.0
    }
}

internal const val COLD_LIMIT = 2
internal const val COLD_ANSWERS = 20
internal const val COLD_MILLIS = 30_000.0
