package org.parsleymoor.relay.limits

import org.parsleymoor.core.InstanceId

/** How many requests a second for [service] the callers of the instance [origin] send. */
public data class ServiceDemand(
    public val origin: InstanceId,
    public val service: String,
    public val perSecond: Double,
)
