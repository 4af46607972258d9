package org.parsleymoor.gateway.serving

import org.parsleymoor.clients.EndpointStatus
import org.parsleymoor.clients.EngineLoad
import org.parsleymoor.clients.StoreLoad
import org.parsleymoor.configuration.EndpointKind
import org.parsleymoor.context.CacheReport
import org.parsleymoor.context.DirectoryAction
import org.parsleymoor.core.EndpointId
import org.parsleymoor.gateway.ConfigurationHolder
import org.parsleymoor.limits.ColdStartEvent
import org.parsleymoor.limits.LoadReport

/** Applies the reports of engines and stores to the fleet state, and reads the status of the engines from it. */
internal class FleetReports(private val configuration: ConfigurationHolder, private val state: FleetState) {
    /** Applies a load report of an engine that was requested at [requestedMillis]. */
    fun report(endpoint: EndpointId, load: EngineLoad, requestedMillis: Long) {
        val report =
            LoadReport(endpoint, load.startCount, load.cold, load.running, load.queuedPrefillTokens, requestedMillis)
        synchronized(state.lock) {
            state.engine(endpoint).load = load
            state.loads.report(report)
            val nowMillis = state.clock.nowMillis()
            state.coldStartGuard.accept(ColdStartEvent.Seen(endpoint, load.startCount, load.cold), nowMillis)
            state.coldStartGuard.loadRead(endpoint, requestedMillis, load.running, nowMillis)
        }
    }

    /** Applies a load report of a store that was requested at [requestedMillis]. */
    fun report(store: EndpointId, load: StoreLoad, requestedMillis: Long) {
        synchronized(state.lock) { state.stores.state(store).report(load, requestedMillis) }
    }

    /** Applies a cache report to the directory and returns the snapshots to fetch. */
    fun report(report: CacheReport): List<DirectoryAction> =
        synchronized(state.lock) { state.directory.accept(report, state.clock.nowMillis()) }

    /** The sequence number of the last applied cache event of [source]. */
    fun cacheSequence(source: EndpointId): Long = synchronized(state.lock) { state.directory.sequence(source) }

    /** The number of blocks that engines and stores are known to hold. */
    fun knownBlocks(): Int = synchronized(state.lock) { state.directory.size }

    /** Returns the status of each declared engine. */
    fun status(): List<EndpointStatus> {
        val engines = configuration.current?.endpoints(EndpointKind.ENGINE).orEmpty()
        return synchronized(state.lock) { engines.map { statusOf(it.name) } }
    }

    private fun statusOf(endpoint: EndpointId): EndpointStatus {
        val load = state.load(endpoint)
        val reported = state.engine(endpoint).load
        return EndpointStatus(
            endpoint = endpoint,
            suspect = state.isSuspect(endpoint),
            cold = state.coldStartGuard.isCold(endpoint),
            running = load.running,
            queued = reported?.queued ?: 0,
            versions = reported?.versions.orEmpty(),
            reportAgeMillis = load.reportAgeMillis ?: 0,
        )
    }
}
