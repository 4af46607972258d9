package org.parsleymoor.relay.cache

import org.parsleymoor.core.RegionId
import org.parsleymoor.core.ZoneId
import org.parsleymoor.relay.fleet.SocketAddress
import org.parsleymoor.relay.placement.Distance
import org.parsleymoor.relay.placement.Topology
import org.parsleymoor.relay.prompt.PromptContext
import org.parsleymoor.relay.prompt.PromptPart
import org.parsleymoor.relay.routing.CacheStoreSpec

/** A KV cache store and its configuration. */
public data class CacheStore(public val address: SocketAddress, public val spec: CacheStoreSpec)

/**
 * The engine's end of a transfer: its availability zone, the cache namespace and the size of a token. The namespace is
 * not [current] when newer weights are the target, so that parts saved in it will soon be useless.
 */
public data class EngineCache(
    public val zone: ZoneId,
    public val namespace: String,
    public val tokenBytes: Long,
    public val current: Boolean = true,
)

/** A transfer of [tokens] from [store] to [engine], or in the other direction when [saving]. */
public data class Transfer(
    public val store: CacheStore,
    public val engine: EngineCache,
    public val tokens: Long,
    public val saving: Boolean,
)

/**
 * Selects the KV cache stores from which an engine fetches the shared parts of a prompt and to which it saves them. All
 * instances rank the stores in the same order, so that the same part is not saved to two stores.
 */
public class CacheStoreSelector(private val topology: Topology, private val directory: CacheStoreDirectory) {
    private val budget = TransferBudget()

    /** Returns how long a transfer of [tokens] between [store] and [engine] takes on an idle link, in milliseconds. */
    public fun transferMillis(store: CacheStore, engine: EngineCache, tokens: Long): Double =
        tokens * timeFactor(store, engine) / tokensPerMilli(store, engine)

    /** Returns the store that holds the complete [part] and transfers it fastest, or null when none holds it. */
    public fun fetchSource(
        part: PromptPart,
        engine: EngineCache,
        stores: List<CacheStore>,
        allowedRegions: List<Set<RegionId>>,
    ): CacheStore? = holders(part, engine.namespace, stores, allowedRegions)
        .minByOrNull { transferMillis(it, engine, part.tokens) }

    /** Returns those of [stores] that hold the complete [part] of [namespace] and lie in [allowedRegions]. */
    public fun holders(
        part: PromptPart,
        namespace: String,
        stores: List<CacheStore>,
        allowedRegions: List<Set<RegionId>>,
    ): List<CacheStore> =
        allowedStores(stores, allowedRegions).filter { directory.holds(it.address, namespace, part) }

    /**
     * Returns the store to save [part] to, or null when the namespace is outdated, a store in the region already holds
     * the part, or none has space.
     */
    public fun saveTarget(
        part: PromptPart,
        prompt: PromptContext,
        engine: EngineCache,
        stores: List<CacheStore>,
        allowedRegions: List<Set<RegionId>>,
    ): CacheStore? {
        val near = allowedStores(stores, allowedRegions)
            .filter { topology.distance(it.spec.zone, engine.zone) != Distance.OTHER_REGION }
        if (!engine.current || near.any { directory.holds(it.address, engine.namespace, part) }) return null
        val usable = near.filter { hasSpace(it, prompt.sharedTokens) }
        return usable.minWithOrNull(compareBy({ transferMillis(it, engine, part.tokens) }, { it.address.toString() }))
    }

    /** Reserves [transfer] in this instance's share of the store's link; returns false when the share is used up. */
    public fun tryReserve(transfer: Transfer, instances: Int, nowMillis: Long): Boolean = budget.tryTake(
        link = CacheStoreLink(transfer.store.address, tokensPerMilli(transfer.store, transfer.engine), instances),
        tokens = transfer.tokens * timeFactor(transfer.store, transfer.engine),
        reserveShare = if (transfer.saving) RESERVED_FOR_FETCHES else 0.0,
        nowMillis = nowMillis,
    )

    private fun allowedStores(stores: List<CacheStore>, allowedRegions: List<Set<RegionId>>): List<CacheStore> =
        stores.filter { store -> allowedRegions.all { topology.isAllowed(store.spec.zone, it) } }

    private fun hasSpace(store: CacheStore, tokens: Long): Boolean {
        val used = directory.summary(store.address)?.usedTokens ?: return false
        return store.spec.managed && used + tokens <= store.spec.cacheTokens * FILL_SHARE
    }

    private fun timeFactor(store: CacheStore, engine: EngineCache): Double =
        when (topology.distance(store.spec.zone, engine.zone)) {
            Distance.SAME_ZONE -> 1.0
            Distance.SAME_REGION -> OTHER_ZONE_FACTOR
            Distance.OTHER_REGION -> OTHER_REGION_FACTOR
        }

    private fun tokensPerMilli(store: CacheStore, engine: EngineCache): Double =
        (store.spec.linkMegabits * BYTES_PER_MEGABIT_MILLI / engine.tokenBytes.coerceAtLeast(1)).coerceAtLeast(1.0)

    private companion object {
        // Parts that are still being written take up space already but are missing from the directory.
        const val FILL_SHARE = 0.95

        // A transfer takes twice as long between availability zones and ten times as long between regions.
        const val OTHER_ZONE_FACTOR = 2.0
        const val OTHER_REGION_FACTOR = 10.0

        // A link of one megabit per second carries this many bytes in a millisecond.
        const val BYTES_PER_MEGABIT_MILLI = 125.0

        // Requests wait for fetches but not for saves, so saves may not use the last part of the link's budget.
        const val RESERVED_FOR_FETCHES = 0.2
    }
}
