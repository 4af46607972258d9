package org.parsleymoor.entry.serving

import org.parsleymoor.core.Clock
import org.parsleymoor.core.ModelId
import org.parsleymoor.relay.cache.CacheStore
import org.parsleymoor.relay.cache.CacheStoreSelector
import org.parsleymoor.relay.cache.EngineCache
import org.parsleymoor.relay.cache.Transfer
import org.parsleymoor.relay.fleet.EndpointState
import org.parsleymoor.relay.fleet.SocketAddress
import org.parsleymoor.relay.placement.Distance
import org.parsleymoor.relay.placement.Topology
import org.parsleymoor.relay.prompt.PromptContext
import org.parsleymoor.relay.prompt.PromptPart

/** Decides from where an engine fetches the parts of a prompt and where it saves them. */
internal class CacheTransfers(
    private val topology: Topology,
    private val beliefs: Beliefs,
    private val clock: Clock,
) {
    private val choice = CacheStoreSelector(topology, beliefs.stores)

    /** Returns the stores from which the longest shared part of [prompt] in [namespace] may be fetched. */
    fun holders(work: Work, prompt: PromptContext, namespace: String): List<CacheStore> =
        prompt.sharedParts.lastOrNull()
            ?.let { choice.holders(it, namespace, beliefs.cacheStores, work.allowedRegions) }.orEmpty()

    /** Returns how long an engine needs to fetch the longest shared part from the best of [holders], if any. */
    fun fetchMillis(prompt: PromptContext, holders: List<CacheStore>, side: EngineCache): Double? {
        val tokens = prompt.sharedParts.lastOrNull()?.tokens ?: 0
        return holders.minOfOrNull { choice.transferMillis(it, side, tokens) }
    }

    /** Plans for a request of [work] to the endpoint at [side]; [cachedAt] probably has the shared parts. */
    fun plan(work: Work, prompt: PromptContext, side: EngineCache, cachedAt: EndpointState?): CacheTransfer {
        val stores = beliefs.cacheStores
        val neighbour = cachedAt?.takeIf { topology.distance(it.entry.zone, side.zone) != Distance.OTHER_REGION }
        val stored = prompt.sharedParts.map { source(work, it, side, stores) }
        val sources = stored.map { it ?: neighbour?.entry?.address }
        val fetched = prompt.sharedParts.zip(stored).filter { it.second != null }.sumOf { it.first.tokens }
        val targets = prompt.sharedParts.map { target(work, prompt, it, side, stores) }
        val own = prompt.parts.size - prompt.sharedParts.size
        return CacheTransfer(listed(sources, own), listed(targets, own), fetched)
    }

    private fun source(
        work: Work,
        part: PromptPart,
        side: EngineCache,
        stores: List<CacheStore>,
    ): SocketAddress? = choice.fetchSource(part, side, stores, work.allowedRegions)
        ?.takeIf { mayTransfer(it, side, part, saving = false) }?.address

    private fun target(
        work: Work,
        prompt: PromptContext,
        part: PromptPart,
        side: EngineCache,
        stores: List<CacheStore>,
    ): SocketAddress? = choice.saveTarget(part, prompt, side, stores, work.allowedRegions)
        ?.takeIf { mayTransfer(it, side, part, saving = true) }?.address

    private fun mayTransfer(store: CacheStore, side: EngineCache, part: PromptPart, saving: Boolean): Boolean =
        choice.tryReserve(Transfer(store, side, part.tokens, saving), beliefs.instances, clock.nowMillis())

    /** Writes one address for each part, then none for the [own] parts of the request; null when there is none. */
    private fun listed(addresses: List<SocketAddress?>, own: Int): String? {
        if (addresses.all { it == null }) return null
        return (addresses.map { it?.toString() ?: NONE } + List(own) { NONE }).joinToString(",")
    }

    private companion object {
        const val NONE = "-"
    }
}

/** The oldest version of [model] that any engine has, or null when that of one is unknown. */
internal fun Beliefs.oldestWeights(model: ModelId): Long? {
    val engines = endpoints.all.filter { state ->
        routes?.configuration?.services?.get(state.entry.service)?.engine?.models.orEmpty().contains(model.value)
    }
    return engines.map { it.weights(model) ?: return null }.minOrNull()
}
