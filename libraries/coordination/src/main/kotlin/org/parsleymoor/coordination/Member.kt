package org.parsleymoor.coordination

import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.RegionId
import org.parsleymoor.core.ZoneId

/** A gateway as listed by the platform; [peerAddress] is `host:port` of its peer socket. */
public data class Member(
    public val instance: InstanceId,
    public val zone: ZoneId,
    public val region: RegionId,
    public val peerAddress: String,
    public val leaving: Boolean = false,
)

/** What is known about a member. */
public enum class MemberState {
    /** Listed by the platform; no heartbeat is expected or has arrived yet. */
    LISTED,

    /** A heartbeat arrived within the silence limit. */
    LIVE,

    /** Its heartbeats stopped; it ranks last in every order. */
    SILENT,

    /** The platform or the instance itself says that it is leaving. */
    LEAVING,
}

/** One entry of the membership view; [incarnation] is null until a heartbeat reports it. */
public data class MembershipEntry(
    public val member: Member,
    public val state: MemberState,
    public val incarnation: Incarnation?,
)
