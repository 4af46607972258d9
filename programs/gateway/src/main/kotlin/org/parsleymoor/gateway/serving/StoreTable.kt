package org.parsleymoor.gateway.serving

import org.parsleymoor.clients.StoreLoad
import org.parsleymoor.configuration.EndpointDeclaration
import org.parsleymoor.configuration.EndpointKind
import org.parsleymoor.context.CacheTier
import org.parsleymoor.core.Clock
import org.parsleymoor.core.EndpointId
import org.parsleymoor.gateway.ServingView
import org.parsleymoor.placement.StoreView

/** What this gateway knows about the KV cache stores. All access must hold [FleetState.lock]. */
internal class StoreTable(private val clock: Clock) {
    private val stores = HashMap<EndpointId, StoreState>()

    fun state(store: EndpointId): StoreState = stores.getOrPut(store) { StoreState() }

    /** Whether the last load report is recent enough to use the store. */
    fun hasRecentReport(store: EndpointId): Boolean {
        val requestedMillis = state(store).reportRequestedMillis ?: return false
        return clock.nowMillis() - requestedMillis < STALE_REPORT_MILLIS
    }

    /** Returns the stores in the form that placement uses. */
    fun views(view: ServingView): List<StoreView> =
        view.endpoints(EndpointKind.STORE).mapNotNull { storeView(it, view) }

    private fun storeView(store: EndpointDeclaration, view: ServingView): StoreView? {
        val region = view.regionOf(store.zone) ?: return null
        val state = state(store.name)
        val nowMillis = clock.nowMillis()
        val queuedBytes = state.load?.queuedBytes ?: 0
        return StoreView(
            endpoint = store.name,
            region = region,
            available = view.takesNewWork(store.name) && hasRecentReport(store.name),
            memoryBytesPerSecond = state.rate(CacheTier.STORE_MEMORY).perSecond(nowMillis),
            diskBytesPerSecond = state.rate(CacheTier.STORE_DISK).perSecond(nowMillis),
            queuedMemoryBytes = queuedBytes,
            queuedDiskBytes = queuedBytes,
        )
    }

    private companion object {
        // Four missed reports, so that few imports wait for a store that is down.
        const val STALE_REPORT_MILLIS = 2_000L
    }
}

/** What this gateway knows about one store. */
internal class StoreState {
    private val memoryRate = RateEstimator(INITIAL_MEMORY_BYTES_PER_SECOND, RATE_EXPIRY_MILLIS)
    private val diskRate = RateEstimator(INITIAL_DISK_BYTES_PER_SECOND, RATE_EXPIRY_MILLIS)

    /** The last load report. */
    var load: StoreLoad? = null
        private set

    /** When the last load report was requested; null before the first. */
    var reportRequestedMillis: Long? = null
        private set

    /** The transfer rate of blocks in [tier], in bytes per second. */
    fun rate(tier: CacheTier): RateEstimator = if (tier == CacheTier.STORE_DISK) diskRate else memoryRate

    fun report(load: StoreLoad, requestedMillis: Long) {
        this.load = load
        reportRequestedMillis = requestedMillis
    }

    private companion object {
        const val INITIAL_MEMORY_BYTES_PER_SECOND = 4_000_000_000.0
        const val INITIAL_DISK_BYTES_PER_SECOND = 2_000_000_000.0
        const val RATE_EXPIRY_MILLIS = 30_000L
    }
}
