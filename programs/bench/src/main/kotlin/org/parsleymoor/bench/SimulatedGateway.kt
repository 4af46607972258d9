package org.parsleymoor.bench

import com.github.michaelbull.result.get
import org.apache.commons.rng.simple.RandomSource
import org.parsleymoor.context.CacheDirectory
import org.parsleymoor.context.CacheReport
import org.parsleymoor.context.CacheTier
import org.parsleymoor.context.HeldBlock
import org.parsleymoor.core.RegionId
import org.parsleymoor.core.RequestId
import org.parsleymoor.limits.AdmissionControl
import org.parsleymoor.limits.FairQueue
import org.parsleymoor.limits.QueuedRequest
import org.parsleymoor.placement.Placement
import org.parsleymoor.placement.PlacementPolicy
import org.parsleymoor.placement.PlacementRequest

/** A gateway in [region] around the decision libraries, connected to the simulated fleet. */
internal class SimulatedGateway(
    private val number: Int,
    val region: RegionId,
    private val policy: PlacementPolicy,
    private val fleet: SimulatedFleet,
    seed: Long,
) {
    private val workload = fleet.workload
    private val random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
    private val admission = AdmissionControl(FairQueue())
    private val waiting = HashMap<String, SimulatedRequest>()
    private val parked = ArrayDeque<SimulatedRequest>()
    private val link = RegionSender(region, fleet)
    val view = GatewayView(fleet, link)
    val directory = CacheDirectory()

    fun receive(request: SimulatedRequest) {
        fleet.measures.arrived(request)
        val id = RequestId(request.number.toString())
        val deadline = (request.arrivalMillis + workload.traffic.deadlineMillis).toLong()
        val tokens = request.pieces.size.toLong() * PIECE_TOKENS + request.remainderTokens
        waiting[id.value] = request
        val item = QueuedRequest(id, request.organisationId, tokens, deadline, request.organisation.weight)
        if (admission.offer(item, fleet.events.now).isErr) refuse(request)
        dispatchWaiting()
    }

    /** Places waiting requests while an engine accepts work. */
    fun dispatchWaiting() {
        admission.expire(fleet.events.now).forEach { refuse(waiting.getValue(it.request.value)) }
        while (true) {
            val request = parked.removeFirstOrNull() ?: nextAdmitted() ?: return
            val late = fleet.events.nowMillis - request.arrivalMillis > workload.traffic.deadlineMillis
            if (late) {
                refuse(request)
            } else if (!place(request)) {
                parked.addFirst(request)
                return
            }
        }
    }

    private fun nextAdmitted(): SimulatedRequest? =
        admission.next(fleet.events.now)?.let { waiting.getValue(it.request.value) }

    private fun refuse(request: SimulatedRequest) {
        waiting -= request.number.toString()
        fleet.measures.refused(request)
    }

    private fun place(request: SimulatedRequest): Boolean {
        val matches = directory.match(request.pieces)
        val toCross = link.textBytes(request)
        val wanted = PlacementRequest(request.pieces.size, request.remainderTokens, region, toCross, matches)
        val placement = policy.place(wanted, view.of(request), random).get() ?: return false
        waiting -= request.number.toString()
        dispatch(request, placement)
        return true
    }

    private fun dispatch(request: SimulatedRequest, placement: Placement) {
        val engine = fleet.engine(placement.endpoint)
        val attempt = Attempt(
            request,
            placement,
            fleet.events.nowMillis,
            onFirstToken = { firstToken(it, engine) },
            onFinished = { finished(it) },
        )
        view.dispatched(attempt)
        if (fleet.options.usesStores) announce(request, placement, engine)
        fleet.events.after(link.send(request, engine)) { engine.submit(attempt, fleet.stores) }
    }

    /** The engine is about to hold the prompt; gateways of the region learn it before the engine's event arrives. */
    private fun announce(request: SimulatedRequest, placement: Placement, engine: SimulatedEngine) {
        val fresh = request.pieces.drop(placement.piecesOnEngine).map { HeldBlock(it, CacheTier.ENGINE) }
        if (fresh.isEmpty()) return
        val digest = CacheReport.Digest(engine.endpoint, engine.startCount, fresh)
        directory.accept(digest, fleet.events.now)
        fleet.events.after(workload.reports.digestLagMillis) {
            val others = fleet.gateways.filter { it !== this && it.region.value == region.value }
            others.forEach { it.directory.accept(digest, fleet.events.now) }
        }
    }

    private fun firstToken(attempt: Attempt, engine: SimulatedEngine) {
        val observed = fleet.events.nowMillis - attempt.request.arrivalMillis + link.returnMillis(engine)
        fleet.measures.answered(attempt.request, observed)
        view.firstToken(attempt)
        fleet.coldness.answered(this, engine)
    }

    private fun finished(attempt: Attempt) {
        view.loads.finished(attempt.id)
        dispatchWaiting()
    }

    override fun toString(): String = "gateway-$number"
}
