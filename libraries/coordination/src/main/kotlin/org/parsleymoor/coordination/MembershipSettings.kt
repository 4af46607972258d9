package org.parsleymoor.coordination

/**
 * Bounds of a [Membership]. A neighbour is silent after [silenceMillis]; a member that only heartbeats named is
 * forgotten after [forgetMillis] without one. Up to [fullMeshSize] gateways are all connected to each other.
 */
public data class MembershipSettings(
    public val silenceMillis: Long = 3_000,
    public val forgetMillis: Long = 30_000,
    public val fullMeshSize: Int = 9,
    public val neighboursInZone: Int = 4,
    public val neighboursInRegion: Int = 2,
    public val neighboursElsewhere: Int = 2,
)
