package org.parsleymoor.entry.serving

import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.ModelId
import org.parsleymoor.relay.cache.CacheStore
import org.parsleymoor.relay.cache.CacheStoreDirectory
import org.parsleymoor.relay.cache.EngineClock
import org.parsleymoor.relay.cache.RecentContexts
import org.parsleymoor.relay.fleet.EndpointState
import org.parsleymoor.relay.fleet.EndpointTable
import org.parsleymoor.relay.fleet.SentPrompt
import org.parsleymoor.relay.fleet.SocketAddress
import org.parsleymoor.relay.placement.TargetWeights
import org.parsleymoor.relay.routing.RouteTable

/** What this instance believes of the deployment. Confined to the event loop. */
internal class Beliefs(val self: InstanceId) {
    /** Routes of the newest configuration, or null before any is known. */
    var routes: RouteTable? = null
        set(value) {
            field = value
            cacheStores = value?.configuration?.services?.values.orEmpty().mapNotNull { service ->
                service.store?.let { spec -> SocketAddress.parse(spec.address)?.let { CacheStore(it, spec) } }
            }
        }

    /** The KV cache stores of the configuration in force. */
    var cacheStores: List<CacheStore> = emptyList()
        private set

    /** The endpoints. */
    val endpoints = EndpointTable()

    /** Whether the list of endpoints has been read. */
    var endpointsKnown = false

    /** The weights that operators have named for each model. */
    var weights: Map<ModelId, TargetWeights> = emptyMap()

    /** Instances that run, this one included; null before the list has been read. */
    var members: Set<InstanceId>? = null

    /** When another instance was last heard to give orders to an engine, or null. */
    var othersOrderedMillis: Long? = null

    /** Called with each prompt that this instance sends to an engine. */
    var onSent: (EndpointId, SentPrompt) -> Unit = { _, _ -> }

    /** The clock that the engines share. */
    val engineClock = EngineClock()

    /** Which engines were given which contexts lately. */
    val contexts = RecentContexts()

    /** Notes that this instance sends [prompt] to [state], and tells its peers. */
    fun sent(state: EndpointState, prompt: SentPrompt) {
        noteSent(state, prompt)
        onSent(state.entry.id, prompt)
    }

    /** Notes that this instance or a peer sent [prompt] to [state]. */
    fun noteSent(state: EndpointState, prompt: SentPrompt) {
        state.recordSentPrompt(prompt)
        contexts.record(prompt.context, state.incarnation, prompt.atMillis)
    }

    /** What the KV cache stores hold. */
    val stores = CacheStoreDirectory()

    /** When this instance or a peer last had an answer from each KV cache store. */
    val storeNewsMillis = HashMap<SocketAddress, Long>()

    /** Number of instances by which shared limits are divided. */
    val instances: Int get() = members?.size ?: UNKNOWN_INSTANCES

    private companion object {
        // Divides shared limits until the members are known: more than a deployment of today has.
        const val UNKNOWN_INSTANCES = 16
    }
}
