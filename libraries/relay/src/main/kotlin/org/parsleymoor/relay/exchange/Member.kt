package org.parsleymoor.relay.exchange

import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.ZoneId

/** An instance that runs: where it listens for peers, its availability zone, and its processor share in cores. */
public data class Member(
    public val id: InstanceId,
    public val address: String,
    public val zone: ZoneId,
    public val processors: Double = 1.0,
)
