package org.parsleymoor.coordination

import org.parsleymoor.configuration.ConfigurationRoot
import org.parsleymoor.core.InstanceId

/** What a [ConfigurationSpread] is told. */
public sealed interface SpreadEvent {
    /** The instances of this zone that are believed to run, this one included, and the connected peers. */
    public data class Members(
        public val zone: List<InstanceId>,
        public val connected: Set<InstanceId>,
    ) : SpreadEvent

    /** A read of the platform or a watch shows [root]; null when the platform holds no configuration. */
    public data class PlatformRoot(public val root: ConfigurationRoot?) : SpreadEvent

    /** The platform returned the section with content hash [hash]. */
    public data class PlatformSection(public val hash: String, public val text: String) : SpreadEvent

    /** A read of the platform failed. */
    public data object PlatformFailed : SpreadEvent

    /** The watch reported something, at least a heartbeat. */
    public data object WatchHeard : SpreadEvent

    /** The watch ended or could not be opened. */
    public data object WatchEnded : SpreadEvent

    /** A heartbeat of [peer] names [revision] as in effect there. */
    public data class PeerRevision(public val peer: InstanceId, public val revision: Long) : SpreadEvent

    /** [peer] asks for the root when it is newer than [haveRevision], and for [sections] by content hash. */
    public data class PeerWants(
        public val peer: InstanceId,
        public val haveRevision: Long,
        public val sections: List<String>,
    ) : SpreadEvent

    /** [peer] or the operators' program offers a [root] (null when it has none to offer) and section texts by hash. */
    public data class PeerOffers(
        public val peer: InstanceId?,
        public val root: ConfigurationRoot?,
        public val sections: Map<String, String>,
    ) : SpreadEvent

    /** Time has passed. */
    public data object Tick : SpreadEvent
}

/** What a [ConfigurationSpread] asks its shell to do. */
public sealed interface SpreadAction {
    /** Open a watch on the root, replacing the one that is open. */
    public data object OpenWatch : SpreadAction

    /** Close the watch. */
    public data object CloseWatch : SpreadAction

    /** Read the root from the platform. */
    public data object ReadRoot : SpreadAction

    /** Read the section with content hash [hash] from the platform. */
    public data class ReadSection(public val hash: String) : SpreadAction

    /** Ask [peer] for a root newer than [haveRevision] and for [sections]. */
    public data class AskPeer(
        public val peer: InstanceId,
        public val haveRevision: Long,
        public val sections: List<String>,
    ) : SpreadAction

    /** Send [root] and [sections] to [peer]. */
    public data class OfferPeer(
        public val peer: InstanceId,
        public val root: ConfigurationRoot?,
        public val sections: Map<String, String>,
    ) : SpreadAction

    /** Put the configuration of [root] into effect; [sections] holds the text of each section by content hash. */
    public data class Apply(
        public val root: ConfigurationRoot,
        public val sections: Map<String, String>,
    ) : SpreadAction
}
