package org.parsleymoor.coordination

import org.parsleymoor.configuration.ConfigurationRoot
import org.parsleymoor.core.InstanceId

/** An input of a [ConfigurationSync]. */
public sealed interface SyncEvent {
    /** The instances of this zone that are presumed alive, including this one, and the connected peers. */
    public data class Members(
        public val zoneInstances: List<InstanceId>,
        public val connectedPeers: Set<InstanceId>,
    ) : SyncEvent

    /** A read or a watch of the platform returned [root]; null if the platform holds no configuration. */
    public data class PlatformRoot(public val root: ConfigurationRoot?) : SyncEvent

    /** The platform returned the section with content hash [hash]. */
    public data class PlatformSection(public val hash: String, public val text: String) : SyncEvent

    /** A read of the platform failed. */
    public data object PlatformFailed : SyncEvent

    /** The watch delivered an event or a heartbeat. */
    public data object WatchActivity : SyncEvent

    /** The watch ended or could not be opened. */
    public data object WatchEnded : SyncEvent

    /** A heartbeat of [peer] reports that [revision] is in effect there. */
    public data class PeerRevision(public val peer: InstanceId, public val revision: Long) : SyncEvent

    /** [peer] asks for the root if it is newer than [haveRevision], and for [sections] by content hash. */
    public data class PeerWants(
        public val peer: InstanceId,
        public val haveRevision: Long,
        public val sections: List<String>,
    ) : SyncEvent

    /** [peer], or the operators' program if null, offers [sections] by content hash and, if it has one, a [root]. */
    public data class PeerOffers(
        public val peer: InstanceId?,
        public val root: ConfigurationRoot?,
        public val sections: Map<String, String>,
    ) : SyncEvent

    /** Time has passed. */
    public data object Tick : SyncEvent
}

/** What the user of a [ConfigurationSync] has to do; the sync does no I/O itself. */
public sealed interface SyncAction {
    /** Open a watch on the root, replacing the current one. */
    public data object OpenWatch : SyncAction

    /** Close the watch. */
    public data object CloseWatch : SyncAction

    /** Read the root from the platform. */
    public data object ReadRoot : SyncAction

    /** Read the section with content hash [hash] from the platform. */
    public data class ReadSection(public val hash: String) : SyncAction

    /** Ask [peer] for a root newer than [haveRevision] and for [sections] by content hash. */
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
