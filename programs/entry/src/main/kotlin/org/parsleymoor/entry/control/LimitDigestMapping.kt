package org.parsleymoor.entry.control

import org.parsleymoor.peering.EndpointLimitDigest
import org.parsleymoor.peering.ServiceDemandDigest
import org.parsleymoor.relay.cache.EngineIncarnation
import org.parsleymoor.relay.fleet.NamedLimit
import org.parsleymoor.relay.limits.ServiceDemand

internal fun NamedLimit.toDigest(): EndpointLimitDigest =
    EndpointLimitDigest(endpoint.endpoint, endpoint.startMillis, perSecond, sequence)

internal fun EndpointLimitDigest.toLimit(): NamedLimit =
    NamedLimit(EngineIncarnation(endpoint, startMillis), perSecond, sequence)

internal fun ServiceDemand.toDigest(): ServiceDemandDigest = ServiceDemandDigest(origin, service, perSecond)

internal fun ServiceDemandDigest.toDemand(): ServiceDemand = ServiceDemand(origin, service, perSecond)
