package org.parsleymoor.relay.cache

import org.parsleymoor.relay.fleet.SocketAddress

/** The link of [store], which carries [tokensPerMilli] and is shared by [instances]. */
public data class CacheStoreLink(
    public val store: SocketAddress,
    public val tokensPerMilli: Double,
    public val instances: Int,
)

/**
 * This instance's part of the links of the KV cache stores. Transfers of all engines queue on a store's link, and a
 * request waits for its fetch, so a link that is asked for more than it carries delays every request that uses it. Each
 * instance takes an equal part of [LINK_SHARE] of the link. Not safe for use from several threads.
 */
public class TransferBudget {
    private val levels = HashMap<SocketAddress, Level>()

    /**
     * Takes [tokens] from the part of [link]; returns false, and takes nothing, when less than [reserveShare] of a full
     * budget would be left.
     */
    public fun tryTake(link: CacheStoreLink, tokens: Double, reserveShare: Double, nowMillis: Long): Boolean {
        val rate = link.tokensPerMilli * LINK_SHARE / link.instances.coerceAtLeast(1)
        val depth = rate * DEPTH_MILLIS
        val level = levels.getOrPut(link.store) { Level(depth, nowMillis) }
        level.tokens = minOf(depth, level.tokens + rate * (nowMillis - level.atMillis))
        level.atMillis = nowMillis
        val full = level.tokens >= depth
        if (!full && level.tokens - tokens < depth * reserveShare) return false
        level.tokens -= tokens
        return true
    }

    private class Level(var tokens: Double, var atMillis: Long)

    private companion object {
        // Instances are busy at different moments, so that together they stay below their parts.
        const val LINK_SHARE = 1.0

        // An instance may use its part of this time at once: a long context takes about half a second of it.
        const val DEPTH_MILLIS = 2_500
    }
}
