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

/** Chooses the KV cache stores from which an engine fetches the parts of a prompt and to which it saves them. */
internal class CacheTransferPlanner(
    private val topology: Topology,
    private val deployment: DeploymentView,
    private val clock: Clock,
) {
    private val storeChoice = CacheStoreSelector(topology, deployment.stores)

    /** Returns the stores that hold the longest shared part of [prompt] in [namespace] and may serve [scope]. */
    fun holders(scope: SendScope, prompt: PromptContext, namespace: String): List<CacheStore> =
        prompt.sharedParts.lastOrNull()
            ?.let { storeChoice.holders(it, namespace, deployment.cacheStores, scope.allowedRegions) }.orEmpty()

    /**
     * Estimates the shortest time to fetch the longest shared part of [prompt] from one of [holders]; null without any.
     */
    fun fetchMillis(prompt: PromptContext, holders: List<CacheStore>, side: EngineCache): Double? {
        val tokens = prompt.sharedParts.lastOrNull()?.tokens ?: 0
        return holders.minOfOrNull { storeChoice.transferMillis(it, side, tokens) }
    }

    /**
     * Plans the transfers for a send in [scope] at the engine that [side] describes. An engine of the same region that
     * probably has the shared parts cached, [cachedAt], is the source of those that no store offers.
     */
    fun plan(
        scope: SendScope,
        prompt: PromptContext,
        side: EngineCache,
        cachedAt: EndpointState?,
    ): CacheTransfer {
        val stores = deployment.cacheStores
        val neighbour = cachedAt?.takeIf { topology.distance(it.entry.zone, side.zone) != Distance.OTHER_REGION }
        val stored = prompt.sharedParts.map { source(scope, it, side, stores) }
        val sources = stored.map { it ?: neighbour?.entry?.address }
        val fetched = prompt.sharedParts.zip(stored).filter { it.second != null }.sumOf { it.first.tokens }
        val targets = prompt.sharedParts.map { target(scope, prompt, it, side, stores) }
        val privateParts = prompt.parts.size - prompt.sharedParts.size
        return CacheTransfer(toFieldValue(sources, privateParts), toFieldValue(targets, privateParts), fetched)
    }

    private fun source(
        scope: SendScope,
        part: PromptPart,
        side: EngineCache,
        stores: List<CacheStore>,
    ): SocketAddress? = storeChoice.fetchSource(part, side, stores, scope.allowedRegions)
        ?.takeIf { mayTransfer(it, side, part, saving = false) }?.address

    private fun target(
        scope: SendScope,
        prompt: PromptContext,
        part: PromptPart,
        side: EngineCache,
        stores: List<CacheStore>,
    ): SocketAddress? = storeChoice.saveTarget(part, prompt, side, stores, scope.allowedRegions)
        ?.takeIf { mayTransfer(it, side, part, saving = true) }?.address

    private fun mayTransfer(store: CacheStore, side: EngineCache, part: PromptPart, saving: Boolean): Boolean =
        storeChoice.tryReserve(Transfer(store, side, part.tokens, saving), deployment.instances, clock.nowMillis())

    /**
     * Formats a header field value with one of [addresses] for each shared part and a placeholder for each of the
     * [privateParts]; returns null if there is no address.
     */
    private fun toFieldValue(addresses: List<SocketAddress?>, privateParts: Int): String? {
        if (addresses.all { it == null }) return null
        return (addresses.map { it?.toString() ?: NONE } + List(privateParts) { NONE }).joinToString(",")
    }

    private companion object {
        const val NONE = "-"
    }
}

/** The oldest version of [model] loaded by any engine that serves it, or null if the version of one is unknown. */
internal fun DeploymentView.oldestWeights(model: ModelId): Long? {
    val engines = endpoints.all.filter { state ->
        routes?.configuration?.services?.get(state.entry.service)?.engine?.models.orEmpty().contains(model.value)
    }
    return engines.map { it.weights(model) ?: return null }.minOrNull()
}
