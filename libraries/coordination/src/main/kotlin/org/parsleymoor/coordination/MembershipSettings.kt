package org.parsleymoor.coordination

/**
 * Limits and times of a [Membership]. A neighbour is silent after [silenceMillis] without a heartbeat; a member that is
 * known only from heartbeats is removed after [forgetMillis] without one. Up to [fullMeshSize] gateways are all
 * connected to each other. In a larger fleet each gateway has [neighboursInZone] neighbours in its zone,
 * [neighboursInRegion] in other zones of its region and [neighboursElsewhere] in other regions.
 */
public data class MembershipSettings(
    public val silenceMillis: Long = 3_000,
    public val forgetMillis: Long = 30_000,
    public val fullMeshSize: Int = 9,
    public val neighboursInZone: Int = 4,
    public val neighboursInRegion: Int = 2,
    public val neighboursElsewhere: Int = 2,
)
