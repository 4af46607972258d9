package org.parsleymoor.bench

import org.apache.commons.rng.simple.RandomSource
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.RegionId
import org.parsleymoor.core.ZoneId
import org.parsleymoor.placement.LeastRecentlyUsedRetention
import org.parsleymoor.placement.PlacementPolicy
import org.parsleymoor.placement.ReturnAwareRetention

/** How a run differs from others of the same workload and seed. The baselines know neither stores nor text hashes. */
internal data class RunOptions(
    val policy: String,
    val seed: Long,
    val zoneOut: Boolean = false,
    val retention: String = "return-aware",
) {
    val usesStores: Boolean get() = policy == "parsleymoor"
    val sendsTextOnce: Boolean get() = policy == "parsleymoor"
}

/** Engines, stores and gateways of one run, connected by late reports. */
internal class SimulatedFleet(val workload: Workload, val options: RunOptions, val events: EventQueue) {
    val measures = Measures(workload)
    private val places = workload.places
    val texts = places.regions.distinct().associateWith { TextCache(workload.links.textCachePieces) }
    val stores: List<SimulatedStore> = perZone(places.stores) { zone, number -> store(zone, number) }
    val engines: List<SimulatedEngine> = perZone(places.engines) { zone, number -> engine(zone, number) }
    val gateways: List<SimulatedGateway> = perZone(places.gateways) { zone, number -> gateway(zone, number) }
    val coldness = Coldness(this)
    private val reports = Reports(this, RandomSource.XO_RO_SHI_RO_128_PP.create(options.seed + REPORT_SEED))
    private val enginesByName = engines.associateBy { it.endpoint.value }

    fun engine(endpoint: EndpointId): SimulatedEngine = enginesByName.getValue(endpoint.value)

    fun gatewaysIn(region: RegionId): Int =
        places.regions.indices.filter { places.regions[it] == region.value }.sumOf { places.gateways[it] }

    fun storeReport(store: SimulatedStore): StoreReport = reports.store(store)

    /** Connects the reports, and starts with every engine warm. */
    fun start() {
        reports.connect()
        coldness.startWarm()
        if (options.usesStores) engines.forEach { engine -> engine.onComputed = { export(engine, it.request) } }
        if (options.usesStores) stores.forEach { prefetch(it) }
    }

    private fun export(engine: SimulatedEngine, request: SimulatedRequest) {
        for (store in stores.filter { it.region.value == engine.region.value }) {
            store.retention.used(request.organisationId, request.pieces, events.now)
            val lacking = request.pieces.filter { it !in store }
            val exports = store.retention.export(engine.endpoint, store.endpoint, lacking, events.now)
            store.receive(exports.map { it.piece })
        }
    }

    private fun prefetch(store: SimulatedStore) {
        store.prefetch()
        if (events.nowMillis < workload.endMillis) events.after(PREFETCH_INTERVAL_MILLIS) { prefetch(store) }
    }

    private fun <T> perZone(counts: List<Int>, create: (Int, Int) -> T): List<T> {
        val zones = counts.flatMapIndexed { zone, count -> List(count) { zone } }
        return zones.mapIndexed { number, zone -> create(zone, number) }
    }

    private fun store(zone: Int, number: Int): SimulatedStore {
        val retention = if (options.retention == "lru") LeastRecentlyUsedRetention() else ReturnAwareRetention()
        val region = RegionId(places.regions[zone])
        val name = EndpointId("store-$number")
        return SimulatedStore(name, places.zones[zone], region, workload.stores, retention, events)
    }

    private fun engine(zone: Int, number: Int): SimulatedEngine {
        val name = EndpointId("engine-$number")
        val region = RegionId(places.regions[zone])
        return SimulatedEngine(name, ZoneId(places.zones[zone]), region, workload.engines, events, measures)
    }

    private fun gateway(zone: Int, number: Int): SimulatedGateway {
        val policy = requireNotNull(PlacementPolicy.named(options.policy)) { "no policy \"${options.policy}\"" }
        val seed = options.seed * GATEWAY_SEEDS + number
        return SimulatedGateway(number, RegionId(places.regions[zone]), policy, this, seed)
    }

    private companion object {
        const val REPORT_SEED = 7_919L
        const val GATEWAY_SEEDS = 1_000L
        const val PREFETCH_INTERVAL_MILLIS = 2_000.0
    }
}
