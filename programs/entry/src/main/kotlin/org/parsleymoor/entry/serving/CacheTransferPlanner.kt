package org.parsleymoor.entry.serving

import org.parsleymoor.core.Clock
import org.parsleymoor.core.ModelId
import org.parsleymoor.relay.cache.CandidateStore
import org.parsleymoor.relay.cache.StoreChoice
import org.parsleymoor.relay.cache.Transfer
import org.parsleymoor.relay.cache.TransferSide
import org.parsleymoor.relay.fleet.EndpointState
import org.parsleymoor.relay.fleet.SocketAddress
import org.parsleymoor.relay.placement.Distance
import org.parsleymoor.relay.placement.Topology
import org.parsleymoor.relay.prompt.PromptContext
import org.parsleymoor.relay.prompt.PromptPart

/** Decides from where an engine fetches the parts of a prompt and where it saves them. */
internal class CacheTransferPlanner(
    private val topology: Topology,
    private val deployment: DeploymentView,
    private val clock: Clock,
) {
    private val choice = StoreChoice(topology, deployment.stores)

    /** Returns the stores from which the longest shared part of [prompt] in [namespace] may be fetched. */
    fun holders(pending: PendingRequest, prompt: PromptContext, namespace: String): List<CandidateStore> =
        prompt.sharedParts.lastOrNull()
            ?.let { choice.holders(it, namespace, deployment.cacheStores, pending.allowedRegions) }.orEmpty()

    /** Returns how long an engine needs to fetch the longest shared part from the best of [holders], if any. */
    fun fetchMillis(prompt: PromptContext, holders: List<CandidateStore>, side: TransferSide): Double? {
        val tokens = prompt.sharedParts.lastOrNull()?.tokens ?: 0
        return holders.minOfOrNull { choice.transferMillis(it, side, tokens) }
    }

    /** Plans for a request of [pending] to the endpoint at [side]; [cachedAt] probably has the shared parts. */
    fun plan(
        pending: PendingRequest,
        prompt: PromptContext,
        side: TransferSide,
        cachedAt: EndpointState?
    ): CacheTransfer {
        val stores = deployment.cacheStores
        val neighbour = cachedAt?.takeIf { topology.distance(it.entry.zone, side.zone) != Distance.OTHER_REGION }
        val stored = prompt.sharedParts.map { source(pending, it, side, stores) }
        val sources = stored.map { it ?: neighbour?.entry?.address }
        val fetched = prompt.sharedParts.zip(stored).filter { it.second != null }.sumOf { it.first.tokens }
        val targets = prompt.sharedParts.map { target(pending, prompt, it, side, stores) }
        val own = prompt.parts.size - prompt.sharedParts.size
        return CacheTransfer(listed(sources, own), listed(targets, own), fetched)
    }

    private fun source(
        pending: PendingRequest,
        part: PromptPart,
        side: TransferSide,
        stores: List<CandidateStore>,
    ): SocketAddress? = choice.source(part, side, stores, pending.allowedRegions)
        ?.takeIf { mayTransfer(it, side, part, saving = false) }?.address

    private fun target(
        pending: PendingRequest,
        prompt: PromptContext,
        part: PromptPart,
        side: TransferSide,
        stores: List<CandidateStore>,
    ): SocketAddress? = choice.target(part, prompt, side, stores, pending.allowedRegions)
        ?.takeIf { mayTransfer(it, side, part, saving = true) }?.address

    private fun mayTransfer(store: CandidateStore, side: TransferSide, part: PromptPart, saving: Boolean): Boolean =
        choice.mayTransfer(Transfer(store, side, part.tokens, saving), deployment.instances, clock.nowMillis())

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
internal fun DeploymentView.oldestWeights(model: ModelId): Long? {
    val engines = endpoints.all.filter { state ->
        routes?.configuration?.services?.get(state.entry.service)?.engine?.models.orEmpty().contains(model.value)
    }
    return engines.map { it.weights(model) ?: return null }.minOrNull()
}
