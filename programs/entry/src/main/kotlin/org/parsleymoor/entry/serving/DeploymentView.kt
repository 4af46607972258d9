package org.parsleymoor.entry.serving

import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.ZoneId
import org.parsleymoor.relay.admission.RecentDemand
import org.parsleymoor.relay.cache.CacheStore
import org.parsleymoor.relay.cache.CacheStoreDirectory
import org.parsleymoor.relay.cache.EngineClock
import org.parsleymoor.relay.cache.EngineIncarnation
import org.parsleymoor.relay.cache.RecentContexts
import org.parsleymoor.relay.exchange.PeerUpdate
import org.parsleymoor.relay.fleet.EndpointLimits
import org.parsleymoor.relay.fleet.EndpointState
import org.parsleymoor.relay.fleet.EndpointTable
import org.parsleymoor.relay.fleet.ListOutages
import org.parsleymoor.relay.fleet.NamedLimit
import org.parsleymoor.relay.fleet.SentPrompt
import org.parsleymoor.relay.fleet.SocketAddress
import org.parsleymoor.relay.fleet.limitedServices
import org.parsleymoor.relay.limits.InstanceList
import org.parsleymoor.relay.limits.KnownInstances
import org.parsleymoor.relay.placement.TargetWeights
import org.parsleymoor.relay.quarantine.EndpointCrash
import org.parsleymoor.relay.quarantine.RequestQuarantine
import org.parsleymoor.relay.release.ExposureLimit
import org.parsleymoor.relay.release.ReleaseTable
import org.parsleymoor.relay.routing.RouteTable
import org.parsleymoor.relay.zones.ZoneDemands

/**
 * This instance's possibly outdated view of the deployment. Confined to the event loop.
 *
 * @param outages the outages of the list of endpoints
 */
internal class DeploymentView(
    val self: InstanceId,
    exposure: ExposureLimit? = null,
    outages: ListOutages = ListOutages(),
) {
    /** Routes of the newest configuration, or null before one has been read. */
    var routes: RouteTable? = null
        set(value) {
            field = value
            cacheStores = value?.configuration?.services?.values.orEmpty().mapNotNull { service ->
                service.store?.let { spec -> SocketAddress.parse(spec.address)?.let { CacheStore(it, spec) } }
            }
        }

    /** The KV cache stores of that configuration. */
    var cacheStores: List<CacheStore> = emptyList()
        private set

    /** The endpoints and their state. */
    val endpoints = EndpointTable(EndpointLimits(self), outages)

    /** Whether the list of endpoints has been read. */
    var endpointsKnown = false

    /** Whether all that decides where a request may go has been read, besides the routes. */
    val isKnown: Boolean get() = endpointsKnown && releases.isKnown

    /** The weights that operators have selected for each model. */
    var weights: Map<ModelId, TargetWeights> = emptyMap()

    /** The running instances, which divide shared limits, as far as they are known. */
    val knownInstances = KnownInstances(self)

    /** Running instances including this one, or null before this instance has read the list. */
    val members: Set<InstanceId>? get() = knownInstances.listed?.ids

    /** Records that [members], which include this instance, were running at [nowMillis]. */
    fun listMembers(members: Set<InstanceId>, nowMillis: Long) {
        knownInstances.list(InstanceList(members, nowMillis))
        endpoints.limits.members = members
        releases.members = members
    }

    /** The availability zones of the running instances, as far as they are known. */
    var memberZones: Map<InstanceId, ZoneId> = emptyMap()

    /** The prompts that callers of each availability zone send, as instances tell each other. */
    val zoneDemands = ZoneDemands()

    /** The orders to move the traffic of services to other releases. */
    val releases = ReleaseTable(self, exposure)

    /** When another instance last reported an order to an engine, or null. */
    var lastPeerOrderMillis: Long? = null

    /** Called for each update that peers have to receive. */
    var announce: (PeerUpdate) -> Unit = {}

    /** Called when this instance learns that an endpoint leaves, with where it learned that. */
    var onLeaving: (EngineIncarnation, LeavingSource) -> Unit = { _, _ -> }

    /** Records that [endpoint] leaves, unless that is known, and announces it to peers if no peer has told it. */
    fun learnLeaving(endpoint: EngineIncarnation, source: LeavingSource) {
        if (!endpoints.markLeaving(endpoint)) return
        onLeaving(endpoint, source)
        if (source !is LeavingSource.Peer) announce(PeerUpdate.Leaving(endpoint))
    }

    /** Called when this instance learns from a peer what an endpoint names as its limit. */
    var onLimit: (NamedLimit) -> Unit = {}

    /** Takes over [limit] from a peer, unless a newer one is known. */
    fun learnLimit(limit: NamedLimit, nowMillis: Long) {
        if (endpoints.limits.named.learn(limit, nowMillis)) onLimit(limit)
    }

    /** Counts a caller's request for [service]. */
    fun recordRequest(service: String, nowMillis: Long) {
        if (endpoints.limits.demands.recordRequest(service, nowMillis)) announceDemand(service, nowMillis)
    }

    /** Which kinds of requests callers asked for lately. */
    val recentDemand = RecentDemand()

    /** Announces the demand of this instance for all services whose endpoints name a limit. */
    fun announceDemands(nowMillis: Long) {
        endpoints.limitedServices.forEach { announceDemand(it, nowMillis) }
    }

    private fun announceDemand(service: String, nowMillis: Long) {
        announce(PeerUpdate.Demanded(endpoints.limits.demands.measure(service, nowMillis)))
    }

    /** Estimate of the clock that the engines share. */
    val engineClock = EngineClock()

    /** The prompt contexts recently sent to each engine. */
    val contexts = RecentContexts()

    /** Records that this instance sends [prompt] to the engine of [state], and announces it to peers. */
    fun recordAndAnnounceSentPrompt(state: EndpointState, prompt: SentPrompt) {
        recordSentPrompt(self, state, prompt, prompt.atMillis)
        announce(PeerUpdate.Sent(self, state.entry.id, prompt))
    }

    /** Records at [nowMillis] that the instance [origin], this one or a peer, sent [prompt] to an engine. */
    fun recordSentPrompt(origin: InstanceId, state: EndpointState, prompt: SentPrompt, nowMillis: Long) {
        state.recordSentPrompt(prompt)
        memberZones[origin]?.let {
            zoneDemands.record(state.entry.service, it, prompt.prefillTokens, nowMillis)
        }
        contexts.record(prompt.context, state.incarnation, prompt.atMillis)
    }

    /** The prompt parts and requests that are not sent to endpoints, because they crash them. */
    val quarantine = RequestQuarantine()

    /** Records [crash], which this instance or a peer has seen, with the release that the endpoint ran. */
    fun recordCrash(crash: EndpointCrash) {
        quarantine.recordCrash(crash.copy(release = endpoints[crash.endpoint.endpoint]?.entry?.release))
    }

    /** Contents of the KV cache stores. */
    val stores = CacheStoreDirectory()

    /** When this instance or a peer last received a response from each KV cache store. */
    val lastStoreResponseMillis = HashMap<SocketAddress, Long>()

    /** Number of instances among which shared limits are divided. */
    val instances: Int get() = knownInstances.ids?.size ?: UNKNOWN_INSTANCES

    private companion object {
        // Assumed until the members are known; larger than current deployments, so that limits are not exceeded.
        const val UNKNOWN_INSTANCES = 16
    }
}
