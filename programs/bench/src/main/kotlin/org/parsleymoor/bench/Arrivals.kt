package org.parsleymoor.bench

import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource
import org.parsleymoor.context.PieceHash
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.roundToInt

/** Draws the requests of [workload] from [seed]; every policy gets the same ones. */
internal class Arrivals(private val workload: Workload, seed: Long) {
    private val random: UniformRandomProvider = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
    private val drafts = ArrayList<Draft>()
    private var contexts = 0L

    fun requests(): List<SimulatedRequest> {
        workload.organisations.forEachIndexed { index, organisation -> addOrganisation(index, organisation) }
        drafts.sortBy { it.arrivalMillis }
        return drafts.mapIndexed { number, draft -> draft.request(number) }
    }

    private fun addOrganisation(index: Int, organisation: OrganisationFigures) {
        val shared = List(organisation.sharedPieces) { PieceHash(-1L - index, it.toLong()) }
        repeat(organisation.contexts) { addReturning(organisation, shared) }
        for (burst in bursts()) repeat(organisation.oneOffsPerBurst) {
            addSession(context(organisation, shared), start(burst, random.nextDouble()))
        }
    }

    private fun addReturning(organisation: OrganisationFigures, shared: List<PieceHash>) {
        val context = context(organisation, shared)
        val position = random.nextDouble()
        for (burst in bursts()) {
            if (random.nextDouble() >= organisation.returnShare) continue
            addSession(context, start(burst, position))
            context.pieces += organisation.growthPerSession
        }
    }

    private fun context(organisation: OrganisationFigures, shared: List<PieceHash>): Context {
        val low = ln(organisation.shortestPieces.toDouble())
        val high = ln(organisation.longestPieces.toDouble())
        val pieces = exp(low + random.nextDouble() * (high - low))
        val region = organisation.callerRegions[random.nextInt(organisation.callerRegions.size)]
        return Context(contexts++, organisation, region, shared, pieces)
    }

    private fun bursts(): List<Double> {
        val days = ((workload.warmUpHours + workload.measuredHours) / HOURS_PER_DAY).roundToInt()
        return (0 until days).flatMap { day ->
            workload.traffic.burstHours.map { (day * HOURS_PER_DAY + it) * MILLIS_PER_HOUR }
        }
    }

    private fun start(burstMillis: Double, position: Double): Double {
        val jitter = (random.nextDouble() - HALF) * 2 * workload.traffic.jitterMinutes
        return burstMillis + (position * workload.traffic.burstMinutes + jitter) * MILLIS_PER_MINUTE
    }

    private fun addSession(context: Context, startMillis: Double) {
        var time = startMillis
        val count = 1 + exponential(workload.traffic.requestsPerSession - 1).toInt()
        val pieces = context.names()
        repeat(count) {
            if (time in 0.0..workload.endMillis) drafts += draft(context, pieces, time)
            time += exponential(workload.traffic.thinkMillis)
        }
    }

    private fun draft(context: Context, pieces: List<PieceHash>, timeMillis: Double): Draft {
        val remainder = (workload.traffic.remainderTokens * (HALF + random.nextDouble())).roundToInt()
        val output = 1 + exponential(workload.traffic.outputTokens.toDouble()).toInt()
        return Draft(timeMillis, context, pieces, remainder, output)
    }

    private fun exponential(mean: Double): Double = -mean * ln(1 - random.nextDouble())

    private class Context(
        val number: Long,
        val organisation: OrganisationFigures,
        val region: String,
        val shared: List<PieceHash>,
        var pieces: Double,
    ) {
        fun names(): List<PieceHash> {
            val own = maxOf(1, pieces.toInt() - shared.size)
            return shared + List(own) { PieceHash(number, (shared.size + it).toLong()) }
        }
    }

    private class Draft(
        val arrivalMillis: Double,
        val context: Context,
        val pieces: List<PieceHash>,
        val remainderTokens: Int,
        val outputTokens: Int,
    ) {
        fun request(number: Int): SimulatedRequest = SimulatedRequest(
            number,
            arrivalMillis,
            context.organisation,
            context.region,
            pieces,
            remainderTokens,
            outputTokens,
        )
    }

    private companion object {
        const val HOURS_PER_DAY = 24.0
        const val HALF = 0.5
    }
}
