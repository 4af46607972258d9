package org.parsleymoor.gateway.serving

import kotlinx.coroutines.delay
import org.parsleymoor.context.CacheChange
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.RegionId

/** Says whether this gateway decides what is copied from an engine, or kept by a store, of a region. */
internal fun interface StoreLeader {
    fun leads(region: RegionId, endpoint: EndpointId): Boolean
}

/** Keeps blocks in the stores: exports from engines and the tiers of the stores. */
internal class StoreKeeper(
    private val tools: ServingTools,
    state: FleetState,
    leads: StoreLeader,
    val retention: SharedRetention = SharedRetention(),
    private val intervalMillis: Long = 500,
) {
    private val exports = BlockExports(tools, state, retention, leads)
    private val tiers = StoreTiers(tools, state, retention, leads)

    /** Takes in the cache events of [engine]. */
    fun changed(engine: EndpointId, changes: List<CacheChange>): Unit = exports.changed(engine, changes)

    /** Starts what is due every [intervalMillis] until it is cancelled. */
    suspend fun run() {
        while (true) {
            tools.configuration.current?.let { view ->
                exports.tick(view)
                tiers.tick(view)
            }
            delay(intervalMillis)
        }
    }
}
