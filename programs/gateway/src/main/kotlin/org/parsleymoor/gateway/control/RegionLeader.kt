package org.parsleymoor.gateway.control

import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.RegionId
import org.parsleymoor.gateway.serving.CacheLeadership

/**
 * Selects one gateway of a region as the leader for an endpoint; requests from other regions go through it. While
 * membership views differ, two gateways may both consider themselves the leader, and a block is then written twice.
 */
internal class RegionLeader(private val self: InstanceId, private val members: GatewayMembers) : CacheLeadership {
    override fun isLeader(region: RegionId, endpoint: EndpointId): Boolean =
        members.contenders(region, endpoint.value).firstOrNull()?.instance == self
}
