package org.parsleymoor.relay.exchange

import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.ModelId
import org.parsleymoor.relay.cache.CacheStoreChange
import org.parsleymoor.relay.fleet.EngineLoad
import org.parsleymoor.relay.fleet.SentPrompt
import org.parsleymoor.relay.fleet.SocketAddress

/** What instances tell each other. Times are on the clock of the instance that holds the news. */
public sealed interface PeerUpdate {
    /** An engine reported [load] and [weights]; [clockMillis] is what the engines' clock showed at that time. */
    public data class Load(
        public val endpoint: EndpointId,
        public val load: EngineLoad,
        public val weights: Map<ModelId, Long>,
        public val clockMillis: Long? = null,
    ) : PeerUpdate

    /** An engine that was asked at [atMillis] did not report. */
    public data class Unresponsive(public val endpoint: EndpointId, public val atMillis: Long) : PeerUpdate

    /** [origin] sent [prompt] to an engine. */
    public data class Sent(
        public val origin: InstanceId,
        public val endpoint: EndpointId,
        public val prompt: SentPrompt,
    ) : PeerUpdate

    /** An engine is being given orders by [holder], or is no longer when not [active]. */
    public data class Ordered(
        public val holder: InstanceId,
        public val endpoint: EndpointId,
        public val active: Boolean,
    ) : PeerUpdate

    /** A KV cache store that started as [epoch] reported [changes] between two positions of its events. */
    public data class CacheStoreEvents(
        public val store: SocketAddress,
        public val epoch: Long,
        public val from: Long,
        public val to: Long,
        public val changes: List<CacheStoreChange>,
    ) : PeerUpdate

    /** A KV cache store does not answer. */
    public data class CacheStoreUnreachable(public val store: SocketAddress) : PeerUpdate
}
