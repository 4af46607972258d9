package org.parsleymoor.relay.exchange

import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.ZoneId

/** A running instance: the address on which it accepts peers, its availability zone and its processors in cores. */
public data class Member(
    public val id: InstanceId,
    public val address: String,
    public val zone: ZoneId,
    public val processors: Double = 1.0,
)
