package org.parsleymoor.coordination

import org.parsleymoor.configuration.ConfigurationRoot
import org.parsleymoor.core.InstanceId

/** What a [ConfigurationSync] is told. */
public sealed interface SyncEvent {
    /** The instances of this zone that are believed to run, this one included, and the connected peers. */
    public data class Members(
        public val zoneInstances: List<InstanceId>,
        public val connectedPeers: Set<InstanceId>,
    ) : SyncEvent

    /** A read of the platform or a watch shows [root]; null when the platform holds no configuration. */
    public data class PlatformRoot(public val root: ConfigurationRoot?) : SyncEvent

    /** The platform returned the section with content hash [hash]. */
    public data class PlatformSection(public val hash: String, public val text: String) : SyncEvent

    /** A read of the platform failed. */
    public data object PlatformFailed : SyncEvent

    /** The watch reported something, at least a heartbeat. */
    public data object WatchActivity : SyncEvent

    /** The watch ended or could not be opened. */
    public data object WatchEnded : SyncEvent

    /** A heartbeat of [peer] names [revision] as in effect there. */
    public data class PeerRevision(public val peer: InstanceId, public val revision: Long) : SyncEvent

    /** [peer] asks for the root when it is newer than [haveRevision], and for [sections] by content hash. */
    public data class PeerWants(
        public val peer: InstanceId,
        public val haveRevision: Long,
        public val sections: List<String>,
    ) : SyncEvent

    /** [peer] or the operators' program offers a [root] (null when it has none to offer) and section texts by hash. */
    public data class PeerOffers(
        public val peer: InstanceId?,
        public val root: ConfigurationRoot?,
        public val sections: Map<String, String>,
    ) : SyncEvent

    /** Time has passed. */
    public data object Tick : SyncEvent
}

/** What a [ConfigurationSync] asks its shell to do. */
public sealed interface SyncAction {
    /** Open a watch on the root, replacing the one that is open. */
    public data object OpenWatch : SyncAction

    /** Close the watch. */
    public data object CloseWatch : SyncAction

    /** Read the root from the platform. */
    public data object ReadRoot : SyncAction

    /** Read the section with content hash [hash] from the platform. */
    public data class ReadSection(public val hash: String) : SyncAction

    /** Ask [peer] for a root newer than [haveRevision] and for [sections]. */
    public data class AskPeer(
        public val peer: InstanceId,
        public val haveRevision: Long,
        public val sections: List<String>,
    ) : SyncAction

    /** Send [root] and [sections] to [peer]. */
    public data class OfferPeer(
        public val peer: InstanceId,
        public val root: ConfigurationRoot?,
        public val sections: Map<String, String>,
    ) : SyncAction

    /** Put the configuration of [root] into effect; [sections] holds the text of each section by content hash. */
    public data class Apply(
        public val root: ConfigurationRoot,
        public val sections: Map<String, String>,
    ) : SyncAction
}
