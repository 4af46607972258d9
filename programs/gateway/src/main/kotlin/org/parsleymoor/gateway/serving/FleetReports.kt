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

/** Takes in what engines report and tells what is known of them. */
internal class FleetReports(private val configuration: ConfigurationHolder, private val state: FleetState) {
    /** Takes in a load report that was asked for at [requestedMillis]. */
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

    /** Takes in a load report of a store that was asked for at [requestedMillis]. */
    fun report(store: EndpointId, load: StoreLoad, requestedMillis: Long) {
        synchronized(state.lock) { state.stores.state(store).report(load, requestedMillis) }
    }

    /** Takes in a report of a cache and returns which snapshots to fetch. */
    fun report(report: CacheReport): List<DirectoryAction> =
        synchronized(state.lock) { state.directory.accept(report, state.clock.nowMillis()) }

    /** The sequence number of the last cache event of [source] that was taken in. */
    fun cacheSequence(source: EndpointId): Long = synchronized(state.lock) { state.directory.sequence(source) }

    /** The number of blocks that engines and stores are known to hold. */
    fun knownBlocks(): Int = synchronized(state.lock) { state.directory.size }

    /** What is known of each engine. */
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
