package org.parsleymoor.coordination

import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.RegionId
import org.parsleymoor.core.ZoneId

/** A gateway as the platform lists it; [peerAddress] is `host:port` of its peer socket. */
public data class Member(
    public val instance: InstanceId,
    public val zone: ZoneId,
    public val region: RegionId,
    public val peerAddress: String,
    public val leaving: Boolean = false,
)

/** How a member of the view is known to be. */
public enum class MemberState {
    /** Listed by the platform, no heartbeat expected or heard yet. */
    LISTED,

    /** A heartbeat arrived within the deadline. */
    LIVE,

    /** Its heartbeats stopped; it comes last in every order of owners. */
    SILENT,

    /** The platform or the instance itself says that it is leaving. */
    LEAVING,
}

/** One entry of the membership view; [incarnation] is null until a heartbeat names the start of its process. */
public data class MembershipEntry(
    public val member: Member,
    public val state: MemberState,
    public val incarnation: Incarnation?,
)
