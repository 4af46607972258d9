package org.parsleymoor.relay.limits

import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.rendezvousOrder

/**
 * Divides the limit of [endpoint], [perSecond] requests from all instances together, among the instances by their
 * [demands]. Only a few get a part, the first in the endpoint's rendezvous order whose callers use it up: a permission
 * for each instance would exceed a small limit, and one at an instance without callers would be lost. Instances whose
 * demands are those of a [heardShare] of all divide only this share of the limit and of its bursts: the others may hear
 * only each other, and do the same.
 */
internal fun divideLimit(
    endpoint: EndpointId,
    perSecond: Double,
    demands: Map<InstanceId, Double>,
    heardShare: Double = 1.0,
): Map<InstanceId, LimitPart> {
    // In four seconds an endpoint accepts six times its limit and five requests; four times are used.
    val bursts = (perSecond * BURST_SECONDS + BURST_REQUESTS) * heardShare
    var rest = perSecond * heardShare
    val parts = rendezvousOrder(endpoint.value, demands.filterValues { it > 0 }.keys) { it.value }
        .take(bursts.toInt())
        .associateWith { holder -> minOf(demands.getValue(holder) * USED_DEMAND, rest).also { rest -= it } }
        .filterValues { it > 0 }
    return parts.mapValues { (_, part) ->
        val share = part + rest / parts.size
        LimitPart(share, minOf(bursts / parts.size, MOST_BURST + share / 2))
    }
}

private const val BURST_SECONDS = 1.5
private const val BURST_REQUESTS = 3.5
private const val MOST_BURST = 2.0

// A holder whose part is less than the demand of its callers has one who waits for each permission.
private const val USED_DEMAND = 0.5
