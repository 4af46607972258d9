package org.parsleymoor.relay.cache

import org.parsleymoor.relay.fleet.SocketAddress

/** The network link of [store], which carries [tokensPerMilli] and is shared by [instances]. */
public data class CacheStoreLink(
    public val store: SocketAddress,
    public val tokensPerMilli: Double,
    public val instances: Int,
)

/**
 * Token buckets for this instance's share of the links of the KV cache stores. Transfers of all engines queue on a
 * store's link, and a request waits for its fetch, so an overloaded link delays every request that uses it. Each
 * instance gets an equal part of [LINK_SHARE] of the link. Not thread-safe.
 */
public class TransferBudget {
    private val buckets = HashMap<SocketAddress, Bucket>()

    /**
     * Takes [tokens] from the budget of [link]. Returns false, and takes nothing, when less than [reserveShare] of a
     * full budget would remain; a full budget accepts a transfer of any size.
     */
    public fun tryTake(link: CacheStoreLink, tokens: Double, reserveShare: Double, nowMillis: Long): Boolean {
        val rate = link.tokensPerMilli * LINK_SHARE / link.instances.coerceAtLeast(1)
        val capacity = rate * BURST_MILLIS
        val bucket = buckets.getOrPut(link.store) { Bucket(capacity, nowMillis) }
        bucket.tokens = minOf(capacity, bucket.tokens + rate * (nowMillis - bucket.atMillis))
        bucket.atMillis = nowMillis
        val full = bucket.tokens >= capacity
        if (!full && bucket.tokens - tokens < capacity * reserveShare) return false
        bucket.tokens -= tokens
        return true
    }

    private class Bucket(var tokens: Double, var atMillis: Long)

    private companion object {
        // Needs no margin: instances are busy at different times, so together they stay below the sum of their shares.
        const val LINK_SHARE = 1.0

        // Burst size, as time at the instance's rate; a long context takes about half a second of it.
        const val BURST_MILLIS = 2_500
    }
}
