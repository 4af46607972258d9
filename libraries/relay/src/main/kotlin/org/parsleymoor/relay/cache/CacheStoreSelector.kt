package org.parsleymoor.relay.cache

import org.parsleymoor.core.RegionId
import org.parsleymoor.core.ZoneId
import org.parsleymoor.relay.fleet.SocketAddress
import org.parsleymoor.relay.placement.Distance
import org.parsleymoor.relay.placement.Topology
import org.parsleymoor.relay.prompt.PromptContext
import org.parsleymoor.relay.prompt.PromptPart
import org.parsleymoor.relay.routing.CacheStoreSpec

/** A KV cache store that may be used for a prompt. */
public data class CacheStore(public val address: SocketAddress, public val spec: CacheStoreSpec)

/**
 * What is known of the engine's side of a transfer: its zone, the name space and the size of a token. What is saved in
 * a name space that is not [current] is of no use soon, because newer weights are named.
 */
public data class EngineCache(
    public val zone: ZoneId,
    public val namespace: String,
    public val tokenBytes: Long,
    public val current: Boolean = true,
)

/** A transfer of [tokens] between [store] and [side], to the store when [saving]. */
public data class Transfer(
    public val store: CacheStore,
    public val side: EngineCache,
    public val tokens: Long,
    public val saving: Boolean,
)

/**
 * Decides which stores an engine fetches the shared parts of a prompt from and saves them to. All instances order the
 * stores alike for the same parts, so that two of them do not save the same part to two stores.
 */
public class CacheStoreSelector(private val topology: Topology, private val directory: CacheStoreDirectory) {
    private val budget = TransferBudget()

    /** Returns the time in milliseconds that [tokens] take from [store] to [side] on an idle link. */
    public fun transferMillis(store: CacheStore, side: EngineCache, tokens: Long): Double =
        tokens * factor(store, side) / tokensPerMilli(store, side)

    /** Returns the store that holds [part] whole and from which it arrives first. */
    public fun fetchSource(
        part: PromptPart,
        side: EngineCache,
        stores: List<CacheStore>,
        allowedRegions: List<Set<RegionId>>,
    ): CacheStore? = holders(part, side.namespace, stores, allowedRegions)
        .minByOrNull { transferMillis(it, side, part.tokens) }

    /** Returns those of [stores] that hold [part] of [namespace] whole and may be used in [allowedRegions]. */
    public fun holders(
        part: PromptPart,
        namespace: String,
        stores: List<CacheStore>,
        allowedRegions: List<Set<RegionId>>,
    ): List<CacheStore> =
        permitted(stores, allowedRegions).filter { directory.holds(it.address, namespace, part) }

    /** Returns the store to save [part] to, or null when a store of the region holds it or none has room. */
    public fun saveTarget(
        part: PromptPart,
        prompt: PromptContext,
        side: EngineCache,
        stores: List<CacheStore>,
        allowedRegions: List<Set<RegionId>>,
    ): CacheStore? {
        val near = permitted(stores, allowedRegions)
            .filter { topology.distance(it.spec.zone, side.zone) != Distance.OTHER_REGION }
        if (!side.current || near.any { directory.holds(it.address, side.namespace, part) }) return null
        val rooms = near.filter { hasRoom(it, prompt.sharedTokens) }
        return rooms.minWithOrNull(compareBy({ transferMillis(it, side, part.tokens) }, { it.address.toString() }))
    }

    /** Takes [transfer] from the part of the store's link that each of [instances] has. */
    public fun tryReserve(transfer: Transfer, instances: Int, nowMillis: Long): Boolean = budget.tryTake(
        link = CacheStoreLink(transfer.store.address, tokensPerMilli(transfer.store, transfer.side), instances),
        tokens = transfer.tokens * factor(transfer.store, transfer.side),
        reserveShare = if (transfer.saving) SAVING_RESERVE else 0.0,
        nowMillis = nowMillis,
    )

    private fun permitted(stores: List<CacheStore>, allowedRegions: List<Set<RegionId>>): List<CacheStore> =
        stores.filter { store -> allowedRegions.all { topology.isAllowed(store.spec.zone, it) } }

    private fun hasRoom(store: CacheStore, tokens: Long): Boolean {
        val used = directory.summary(store.address)?.usedTokens ?: return false
        return store.spec.managed && used + tokens <= store.spec.cacheTokens * FILL_SHARE
    }

    private fun factor(store: CacheStore, side: EngineCache): Double =
        when (topology.distance(store.spec.zone, side.zone)) {
            Distance.SAME_ZONE -> 1.0
            Distance.SAME_REGION -> OTHER_ZONE_FACTOR
            Distance.OTHER_REGION -> OTHER_REGION_FACTOR
        }

    private fun tokensPerMilli(store: CacheStore, side: EngineCache): Double =
        (store.spec.linkMegabits * BYTES_PER_MEGABIT_MILLI / side.tokenBytes.coerceAtLeast(1)).coerceAtLeast(1.0)

    private companion object {
        // Parts that are being written already have their space and are not in the directory yet.
        const val FILL_SHARE = 0.95

        // A transfer takes twice as long between zones and ten times as long between regions.
        const val OTHER_ZONE_FACTOR = 2.0
        const val OTHER_REGION_FACTOR = 10.0

        // Bytes that a link of one megabit a second carries in a millisecond.
        const val BYTES_PER_MEGABIT_MILLI = 125.0

        // A save that waits delays nobody, so fetches may use the last part of the link alone.
        const val SAVING_RESERVE = 0.2
    }
}
