package org.parsleymoor.relay.exchange

import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.ModelId
import org.parsleymoor.relay.cache.CacheStoreChange
import org.parsleymoor.relay.cache.EngineIncarnation
import org.parsleymoor.relay.fleet.EngineLoad
import org.parsleymoor.relay.fleet.NamedLimit
import org.parsleymoor.relay.fleet.SentPrompt
import org.parsleymoor.relay.fleet.SocketAddress
import org.parsleymoor.relay.limits.ServiceDemand
import org.parsleymoor.relay.quarantine.ContentKey
import org.parsleymoor.relay.quarantine.EndpointCrash
import org.parsleymoor.relay.quarantine.QuarantinedContent
import org.parsleymoor.relay.release.ReleaseReport
import org.parsleymoor.relay.release.ReleaseStep
import org.parsleymoor.relay.speed.SpeedEvidence

/** Information that instances share. Times are on the clock of the instance that holds the update. */
public sealed interface PeerUpdate {
    /** An engine reported [load] and [weights]; [clockMillis] is the reading of the engines' clock at that time. */
    public data class Load(
        public val endpoint: EndpointId,
        public val load: EngineLoad,
        public val weights: Map<ModelId, Long>,
        public val clockMillis: Long? = null,
    ) : PeerUpdate

    /** An engine did not respond to a load poll sent at [atMillis]. */
    public data class Unresponsive(public val endpoint: EndpointId, public val atMillis: Long) : PeerUpdate

    /** The instance [origin] sent [prompt] to an engine. */
    public data class Sent(
        public val origin: InstanceId,
        public val endpoint: EndpointId,
        public val prompt: SentPrompt,
    ) : PeerUpdate

    /** The lease holder [holder] is ordering an engine to load weights, or has finished when not [active]. */
    public data class Ordered(
        public val holder: InstanceId,
        public val endpoint: EndpointId,
        public val active: Boolean,
    ) : PeerUpdate

    /** An instance read in a response that [endpoint] leaves. */
    public data class Leaving(public val endpoint: EngineIncarnation) : PeerUpdate

    /** The instance [origin] measured that work at [endpoint] does not take as long as usual. */
    public data class Measured(
        public val origin: InstanceId,
        public val endpoint: EngineIncarnation,
        public val evidence: SpeedEvidence,
    ) : PeerUpdate

    /** What instances need to know to keep the limits of endpoints together. */
    public sealed interface LimitNews : PeerUpdate

    /** What an endpoint named as its limit, or that it no longer names one. */
    public data class Limited(public val limit: NamedLimit) : LimitNews

    /** The demand for a service at an instance, by which limits of its endpoints are divided. */
    public data class Demanded(public val demand: ServiceDemand) : LimitNews

    /** What an instance learned about prompt parts and requests on which endpoints may crash. */
    public sealed interface CrashEvidence : PeerUpdate

    /** The instance [origin] saw [crash]. */
    public data class Crashed(public val origin: InstanceId, public val crash: EndpointCrash) : CrashEvidence

    /** A request with [keys], which were suspected of crashes, was answered at [atMillis]. */
    public data class Answered(public val keys: Set<ContentKey>, public val atMillis: Long) : CrashEvidence

    /** A prompt part or a request is quarantined. */
    public data class Quarantined(public val entry: QuarantinedContent) : CrashEvidence

    /** What instances need to know to move the traffic of a service to another release. */
    public sealed interface ReleaseNews : PeerUpdate

    /** The lease holder decided, or repeats, [step]. */
    public data class ReleaseDecided(public val step: ReleaseStep) : ReleaseNews

    /** An instance reports what it has seen of the releases of a service. */
    public data class ReleaseReported(public val report: ReleaseReport) : ReleaseNews

    /** A KV cache store reported [changes] in its events after [from] up to [to], in its current [epoch]. */
    public data class CacheStoreEvents(
        public val store: SocketAddress,
        public val epoch: Long,
        public val from: Long,
        public val to: Long,
        public val changes: List<CacheStoreChange>,
    ) : PeerUpdate

    /** A KV cache store does not respond. */
    public data class CacheStoreUnreachable(public val store: SocketAddress) : PeerUpdate
}
