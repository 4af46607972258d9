package org.parsleymoor.bench

import org.apache.commons.rng.UniformRandomProvider
import org.parsleymoor.context.CacheReport
import org.parsleymoor.context.DirectoryAction
import org.parsleymoor.context.HeldBlock
import org.parsleymoor.core.EndpointId
import org.parsleymoor.limits.LoadReport

/** Carries load reports and cache events from the fleet to the gateways, late and with losses. */
internal class Reports(private val fleet: SimulatedFleet, private val random: UniformRandomProvider) {
    private val figures = fleet.workload.reports
    private val events = fleet.events
    private val storeReports = HashMap<String, StoreReport>()

    fun connect() {
        fleet.engines.forEach { connectEngine(it) }
        fleet.stores.forEach { connectStore(it) }
    }

    fun store(store: SimulatedStore): StoreReport {
        val known = storeReports[store.endpoint.value]
        val fresh = known != null && events.nowMillis - known.takenMillis < figures.loadIntervalMillis
        if (known != null && fresh) return known
        val taken = StoreReport(events.nowMillis, store.memory.queuedBytes(), store.disk.queuedBytes())
        storeReports[store.endpoint.value] = taken
        return taken
    }

    private fun connectEngine(engine: SimulatedEngine) {
        val load = Periodic(events, figures.loadIntervalMillis) { sendLoad(engine) }
        val cache = Periodic(events, figures.cacheIntervalMillis) {
            sendChanges(
                CacheSource(engine.endpoint, { engine.startCount }, engine.cache.log) { engine.cache.content() }
            )
        }
        engine.onChange = {
            load.request()
            if (!engine.cache.log.isEmpty) cache.request()
        }
    }

    private fun connectStore(store: SimulatedStore) {
        val source = CacheSource(store.endpoint, { 1L }, store.log) { store.blocks() }
        val cache = Periodic(events, figures.cacheIntervalMillis) { sendChanges(source) }
        store.onChange = { cache.request() }
    }

    private fun sendLoad(engine: SimulatedEngine) {
        val report = LoadReport(
            engine.endpoint,
            engine.startCount,
            engine.isCold,
            engine.running,
            engine.queuedTokens(),
            events.now,
        )
        events.after(figures.loadLagMillis) {
            fleet.gateways.forEach { gateway ->
                gateway.view.loads.report(report)
                fleet.coldness.seen(gateway, report)
                gateway.dispatchWaiting()
            }
        }
    }

    private fun sendChanges(source: CacheSource) {
        val startCount = source.startCount()
        val changes = CacheReport.Changes(source.endpoint, startCount, source.log.sequence, source.log.drain())
        events.after(figures.cacheLagMillis) {
            fleet.gateways.forEach { if (random.nextDouble() >= figures.lostShare) deliver(it, source, changes) }
        }
    }

    private fun deliver(gateway: SimulatedGateway, source: CacheSource, report: CacheReport) {
        val actions = gateway.directory.accept(report, events.now)
        if (actions.any { it is DirectoryAction.FetchSnapshot && it.source.value == source.endpoint.value }) {
            events.after(figures.cacheLagMillis) { deliver(gateway, source, source.snapshot()) }
        }
    }

    private class CacheSource(
        val endpoint: EndpointId,
        val startCount: () -> Long,
        val log: ChangeLog,
        val content: () -> List<HeldBlock>,
    ) {
        fun snapshot(): CacheReport = CacheReport.Snapshot(endpoint, startCount(), log.sequence, content())
    }
}

/** Runs [action] at most once per [intervalMillis], and only after it has been requested. */
internal class Periodic(
    private val events: EventQueue,
    private val intervalMillis: Double,
    private val action: () -> Unit,
) {
    private var scheduled = false

    fun request() {
        if (scheduled) return
        scheduled = true
        events.after(intervalMillis) {
            scheduled = false
            action()
        }
    }
}
