package org.parsleymoor.bench

import org.parsleymoor.limits.ColdStartDecision
import org.parsleymoor.limits.ColdStartLimit
import org.parsleymoor.limits.LoadView
import org.parsleymoor.placement.EngineView
import org.parsleymoor.placement.EstimateCorrection
import org.parsleymoor.placement.FleetView
import org.parsleymoor.placement.Placement
import org.parsleymoor.placement.PrefixSource
import org.parsleymoor.placement.StoreView

/** What a gateway believes about the fleet, from late reports and its own dispatches. */
internal class GatewayView(private val fleet: SimulatedFleet, private val link: RegionSender) {
    private val workload = fleet.workload
    private val correction = EstimateCorrection()
    private val sentToStores = HashMap<String, SentBytes>()
    val loads = LoadView()
    val cold = ColdStartLimit()
    val zonesOut = HashSet<String>()

    fun of(request: SimulatedRequest): FleetView {
        val engines = fleet.engines.filter { it.region.value in request.engineRegions }.map { engineView(it) }
        val stores = if (fleet.options.usesStores) fleet.stores.map { storeView(it) } else emptyList()
        return FleetView(engines, stores, link.view())
    }

    fun dispatched(attempt: Attempt) {
        val placement = attempt.placement
        val tokens = placement.recomputedPieces.toLong() * PIECE_TOKENS + attempt.request.remainderTokens
        loads.dispatched(placement.endpoint, attempt.id, tokens, fleet.events.now)
        recordImport(placement)
    }

    fun firstToken(attempt: Attempt) {
        loads.firstToken(attempt.id)
        val taken = fleet.events.nowMillis - attempt.sentMillis
        correction.record(attempt.placement.endpoint, attempt.placement.estimate.totalMillis, taken)
    }

    private fun engineView(engine: SimulatedEngine): EngineView {
        val rate = workload.engines.prefillTokensPerSecond
        val load = loads.load(engine.endpoint, rate, fleet.events.now)
        val warmth = cold.decide(engine.endpoint, load.running, fleet.events.now)
        val open = engine.zone.value !in zonesOut && load.running < workload.engines.concurrent
        return EngineView(
            endpoint = engine.endpoint,
            zone = engine.zone,
            region = engine.region,
            acceptsWork = open && (warmth == ColdStartDecision.WARM || warmth == ColdStartDecision.SLOT_FREE),
            running = load.running,
            queuedPrefillTokens = load.queuedPrefillTokens,
            prefillTokensPerSecond = rate,
            correction = correction.factor(engine.endpoint),
        )
    }

    private fun storeView(store: SimulatedStore): StoreView {
        val report = fleet.storeReport(store)
        val own = sentToStores[store.endpoint.value]?.takeIf { it.sinceMillis >= report.takenMillis }
        return StoreView(
            store.endpoint,
            store.region,
            store.zone !in zonesOut,
            workload.stores.memoryBytesPerSecond,
            workload.stores.diskBytesPerSecond,
            report.memoryBytes + (own?.memory ?: 0),
            report.diskBytes + (own?.disk ?: 0),
        )
    }

    private fun recordImport(placement: Placement) {
        val import = placement.prefix as? PrefixSource.Import ?: return
        val report = fleet.storeReport(fleet.stores.first { it.endpoint.value == import.store.value })
        val known = sentToStores[import.store.value]?.takeIf { it.sinceMillis >= report.takenMillis }
        val sent = known ?: SentBytes(fleet.events.nowMillis).also { sentToStores[import.store.value] = it }
        sent.add(import.blocks, workload.stores.blockBytes)
    }
}
