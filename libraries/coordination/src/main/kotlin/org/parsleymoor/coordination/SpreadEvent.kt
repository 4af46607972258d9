package org.parsleymoor.coordination

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

    /** The platform returned a section. */
    public data class PlatformSection(public val hash: String, public val content: String) : SpreadEvent

    /** A read of the platform failed. */
    public data object PlatformFailed : SpreadEvent

    /** The watch reported something, at least a heartbeat. */
    public data object WatchHeard : SpreadEvent

    /** The watch ended or could not be opened. */
    public data object WatchEnded : SpreadEvent

    /** A heartbeat of [peer] or the operators' program names [revision] as in effect there. */
    public data class PeerRevision(public val peer: InstanceId, public val revision: Long) : SpreadEvent

    /** [peer] asks for what is above [aboveRevision] and holds the sections [held] already. */
    public data class PeerWants(
        public val peer: InstanceId,
        public val aboveRevision: Long,
        public val held: Set<String>,
    ) : SpreadEvent

    /** [peer] offers a root and sections; null when it has nothing above the revision that was asked for. */
    public data class PeerOffers(
        public val peer: InstanceId,
        public val offer: ConfigurationRevision?,
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

    /** Ask [peer] for a revision above [aboveRevision], naming the sections that are [held] here. */
    public data class AskPeer(
        public val peer: InstanceId,
        public val aboveRevision: Long,
        public val held: Set<String>,
    ) : SpreadAction

    /** Send [offer] to [peer]. */
    public data class OfferPeer(
        public val peer: InstanceId,
        public val offer: ConfigurationRevision?,
    ) : SpreadAction

    /** Put [configuration] into effect. */
    public data class Apply(public val configuration: ConfigurationRevision) : SpreadAction
}
