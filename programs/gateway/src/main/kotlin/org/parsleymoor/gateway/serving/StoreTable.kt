package org.parsleymoor.gateway.serving

import org.parsleymoor.clients.StoreLoad
import org.parsleymoor.configuration.EndpointDeclaration
import org.parsleymoor.configuration.EndpointKind
import org.parsleymoor.context.CacheTier
import org.parsleymoor.core.Clock
import org.parsleymoor.core.EndpointId
import org.parsleymoor.gateway.ServingView
import org.parsleymoor.placement.StoreView

/** What this gateway knows of the KV cache stores. Every use holds the fleet's lock. */
internal class StoreTable(private val clock: Clock) {
    private val stores = HashMap<EndpointId, StoreState>()

    fun state(store: EndpointId): StoreState = stores.getOrPut(store) { StoreState() }

    /** Whether the store's load report is recent enough to use the store. */
    fun hasRecentReport(store: EndpointId): Boolean {
        val read = state(store).reportRequestedMillis ?: return false
        return clock.nowMillis() - read < STALE_MILLIS
    }

    /** The stores as the placement sees them. */
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
        // Four missed reports: a store that is lost stops being a source before many imports wait for it.
        const val STALE_MILLIS = 2_000L
    }
}

/** What this gateway knows of one store. */
internal class StoreState {
    private val memory = RateEstimator(MEMORY_BYTES_PER_SECOND, FORGET_MILLIS)
    private val disk = RateEstimator(DISK_BYTES_PER_SECOND, FORGET_MILLIS)

    /** The last load report. */
    var load: StoreLoad? = null
        private set

    /** When the last load report was asked for; null before the first. */
    var reportRequestedMillis: Long? = null
        private set

    /** The observed rate of the link for blocks in [tier]. */
    fun rate(tier: CacheTier): RateEstimator = if (tier == CacheTier.STORE_DISK) disk else memory

    fun report(load: StoreLoad, requestedMillis: Long) {
        this.load = load
        reportRequestedMillis = requestedMillis
    }

    private companion object {
        const val MEMORY_BYTES_PER_SECOND = 4_000_000_000.0
        const val DISK_BYTES_PER_SECOND = 2_000_000_000.0
        const val FORGET_MILLIS = 30_000L
    }
}
