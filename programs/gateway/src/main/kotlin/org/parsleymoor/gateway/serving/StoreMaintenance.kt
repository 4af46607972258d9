package org.parsleymoor.gateway.serving

import kotlinx.coroutines.delay
import org.parsleymoor.context.CacheChange
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.RegionId

/** Tells whether this gateway manages the exports of an engine, or the contents of a store, in a region. */
internal fun interface CacheLeadership {
    fun isLeader(region: RegionId, endpoint: EndpointId): Boolean
}

/** Maintains the blocks in the KV cache stores: exports from engines and the tiers of the stores. */
internal class StoreMaintenance(
    private val dependencies: ServingDependencies,
    state: FleetState,
    leadership: CacheLeadership,
    val retention: SharedRetention = SharedRetention(),
    private val intervalMillis: Long = 500,
) {
    private val exports = BlockExporter(dependencies, state, retention, leadership)
    private val tiers = StoreTierManager(dependencies, state, retention, leadership)

    /** Records the cache events of [engine]. */
    fun acceptChanges(engine: EndpointId, changes: List<CacheChange>): Unit = exports.acceptChanges(engine, changes)

    /** Starts due exports and tier changes every [intervalMillis] until it is cancelled. */
    suspend fun run() {
        while (true) {
            dependencies.configuration.current?.let { view ->
                exports.startDueExports(view)
                tiers.startDueActions(view)
            }
            delay(intervalMillis)
        }
    }
}
