package org.parsleymoor.relay.limits

import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.rendezvousOrder

/**
 * Limit on the requests that all instances together may send to a cold endpoint in any second: [requestsPerSecond]
 * times [overage], plus [slack].
 */
public data class ColdEndpointLimit(
    public val requestsPerSecond: Double,
    public val overage: Double,
    public val slack: Double
) {
    /** The number of requests allowed in any second, rounded down. */
    public val total: Int get() = (requestsPerSecond * overage + slack).toInt()
}

/**
 * This instance's share of the requests that cold endpoints may receive, which all instances divide equally. What the
 * division leaves over, which is the whole limit when there are more instances than requests, goes to the first
 * instances in the endpoint's rendezvous order, so that no messages are needed. Not thread-safe.
 *
 * @param startMillis when this process started; a former process of the same instance may have sent requests until then
 */
public class ColdEndpointBudget(private val self: InstanceId, private val startMillis: Long = Long.MIN_VALUE / 2) {
    private val sentMillis = HashMap<EndpointId, ArrayDeque<Long>>()
    private val ranks = HashMap<EndpointId, Int>()
    private var ranked: Set<InstanceId> = emptySet()

    /**
     * Takes a request to [endpoint] from this instance's share, which is [part] of [limit]; returns false, and takes
     * nothing, when it is used up. The set of instances in [part] has to be immutable: the ranks are computed once for
     * each set object.
     */
    public fun tryTake(
        endpoint: EndpointId,
        limit: ColdEndpointLimit,
        part: InstancePart,
        nowMillis: Long,
    ): Boolean {
        val times = sentMillis.getOrPut(endpoint) { ArrayDeque() }
        while (times.isNotEmpty() && nowMillis - times.first() >= WINDOW_MILLIS) times.removeFirst()
        val taken = nowMillis - startMillis >= WINDOW_MILLIS && times.size < share(endpoint, limit, part)
        if (taken) times.addLast(nowMillis)
        return taken
    }

    /** Forgets all endpoints except [known]. */
    public fun retain(known: Set<EndpointId>) {
        sentMillis.keys.retainAll(known)
        ranks.keys.retainAll(known)
    }

    private fun share(endpoint: EndpointId, limit: ColdEndpointLimit, part: InstancePart): Int {
        val usable = (limit.total * USABLE_SHARE).toInt().coerceIn(minOf(1, limit.total), limit.total)
        return when (part) {
            InstancePart.Nothing -> 0
            is InstancePart.OfLimit -> share(endpoint, usable, part.instances)
            is InstancePart.OfReserve -> share(endpoint, limit.total - usable, part.instances)
        }
    }

    private fun share(endpoint: EndpointId, total: Int, instances: Set<InstanceId>): Int {
        if (instances !== ranked) {
            ranked = instances
            ranks.clear()
        }
        val rank = ranks.getOrPut(endpoint) { rendezvousOrder(endpoint.value, instances) { it.value }.indexOf(self) }
        return total / instances.size + if (rank < total % instances.size) 1 else 0
    }

    private companion object {
        // The second that the limit covers, plus the difference in network delay between two requests.
        const val WINDOW_MILLIS = 1_150L

        // The rest is for instances that the others do not count yet, or no longer.
        const val USABLE_SHARE = 0.8
    }
}
