package org.parsleymoor.gateway.control

import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.RegionId
import org.parsleymoor.gateway.serving.CacheLeadership

/**
 * Names the first gateway of a region for an endpoint, the one that requests from other regions go through. Gateways
 * with differing views may both take an endpoint for theirs for a while; a block is then written twice.
 */
internal class RegionLeader(private val self: InstanceId, private val members: GatewayMembers) : CacheLeadership {
    override fun isLeader(region: RegionId, endpoint: EndpointId): Boolean =
        members.contenders(region, endpoint.value).firstOrNull()?.instance == self
}
