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
 * This instance's share of the requests that cold endpoints may receive. The limit is divided by the number of
 * instances. What the division leaves over, which is the whole limit when there are more instances than requests, goes
 * to the first instances in the endpoint's rendezvous order, so that no messages are needed. Not thread-safe.
 */
public class ColdEndpointBudget(private val self: InstanceId) {
    private val sentMillis = HashMap<EndpointId, ArrayDeque<Long>>()
    private val ranks = HashMap<EndpointId, Int>()
    private var rankedMembers: Set<InstanceId>? = null
    private var instances: Set<InstanceId> = setOf(self)

    /**
     * Takes a request to [endpoint] from this instance's share; returns false, and takes nothing, when it is used up.
     * [members] has to be an immutable set: the ranks are computed once for each set object.
     */
    public fun tryTake(
        endpoint: EndpointId,
        limit: ColdEndpointLimit,
        members: Set<InstanceId>,
        nowMillis: Long,
    ): Boolean {
        val times = sentMillis.getOrPut(endpoint) { ArrayDeque() }
        while (times.isNotEmpty() && nowMillis - times.first() >= WINDOW_MILLIS) times.removeFirst()
        if (times.size >= share(endpoint, limit, members)) return false
        times.addLast(nowMillis)
        return true
    }

    /** Forgets all endpoints except [known]. */
    public fun retain(known: Set<EndpointId>) {
        sentMillis.keys.retainAll(known)
        ranks.keys.retainAll(known)
    }

    private fun share(endpoint: EndpointId, limit: ColdEndpointLimit, members: Set<InstanceId>): Int {
        if (members !== rankedMembers) {
            rankedMembers = members
            instances = members + self
            ranks.clear()
        }
        val total = (limit.total * USABLE_SHARE).toInt()
        val rank = ranks.getOrPut(endpoint) { rendezvousOrder(endpoint.value, instances) { it.value }.indexOf(self) }
        return total / instances.size + if (rank < total % instances.size) 1 else 0
    }

    private companion object {
        // The second that the limit covers, plus the difference in network delay between two requests.
        const val WINDOW_MILLIS = 1_150L

        // The rest is for instances that this one does not know yet.
        const val USABLE_SHARE = 0.8
    }
}
