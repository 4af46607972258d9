package org.parsleymoor.relay.limits

import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.rendezvousOrder

/** Bound on the requests in any one second that all instances together may send to a cold endpoint. */
public data class ColdEndpointLimit(
    public val requestsPerSecond: Double,
    public val overage: Double,
    public val slack: Double
) {
    /** Requests in one second, rounded down. */
    public val total: Int get() = (requestsPerSecond * overage + slack).toInt()
}

/**
 * This instance's part of the load that cold endpoints bear. The bound is divided by the number of instances; what the
 * division leaves over, or the whole bound where there are more instances than requests, goes to the first instances
 * in the endpoint's rendezvous order, so no message is needed. Not safe for use from several threads.
 */
public class ColdEndpointBudget(private val self: InstanceId) {
    private val sent = HashMap<EndpointId, ArrayDeque<Long>>()
    private val ranks = HashMap<EndpointId, Int>()
    private var ranked: Set<InstanceId>? = null
    private var all: Set<InstanceId> = setOf(self)

    /**
     * Takes a request to [endpoint] from this instance's part; returns false, and takes nothing, when it is spent. The
     * order of [members], an immutable set, is worked out once for each set.
     */
    public fun tryTake(
        endpoint: EndpointId,
        bound: ColdEndpointLimit,
        members: Set<InstanceId>,
        nowMillis: Long,
    ): Boolean {
        val times = sent.getOrPut(endpoint) { ArrayDeque() }
        while (times.isNotEmpty() && nowMillis - times.first() >= WINDOW_MILLIS) times.removeFirst()
        if (times.size >= part(endpoint, bound, members)) return false
        times.addLast(nowMillis)
        return true
    }

    /** Forgets endpoints other than [known]. */
    public fun retain(known: Set<EndpointId>) {
        sent.keys.retainAll(known)
        ranks.keys.retainAll(known)
    }

    private fun part(endpoint: EndpointId, bound: ColdEndpointLimit, members: Set<InstanceId>): Int {
        if (members !== ranked) {
            ranked = members
            all = members + self
            ranks.clear()
        }
        val total = (bound.total * CERTAIN_SHARE).toInt()
        val rank = ranks.getOrPut(endpoint) { rendezvousOrder(endpoint.value, all) { it.value }.indexOf(self) }
        return total / all.size + if (rank < total % all.size) 1 else 0
    }

    private companion object {
        // A second of the limit, and the time by which delays can differ between two requests.
        const val WINDOW_MILLIS = 1_150L

        // Leaves room for an instance that another does not know of yet.
        const val CERTAIN_SHARE = 0.8
    }
}
