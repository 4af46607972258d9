package org.parsleymoor.relay.limits

/**
 * Times that decide when an instance may use its share of a limit. Each instance reads the list of registrations every
 * [listMillis] and stops counting one that has not been renewed for [expiryMillis]; the limit holds in any
 * [windowMillis].
 */
public data class ShareTimes(
    public val listMillis: Long,
    public val expiryMillis: Long,
    public val windowMillis: Long,
)

/**
 * This instance's share of a limit that all registered instances divide equally. The shares used within any window add
 * up to no more than the whole, also while instances start, restart, leave or lose contact with the object store: a
 * share begins only when all others count this instance and what its former process used has left the window, it ends
 * when they may stop counting it, and it grows only when those that are gone have used nothing for a window. Not
 * thread-safe.
 */
public class InstanceShare(private val times: ShareTimes) {
    private var registeredSinceMillis: Long? = null
    private var renewedMillis = Long.MIN_VALUE
    private val counts = ArrayDeque<Count>()

    private data class Count(val instances: Int, val atMillis: Long)

    /** Records that the registration of this instance was renewed by a call that began at [atMillis]. */
    public fun renewed(atMillis: Long) {
        if (isExpired(atMillis)) registeredSinceMillis = atMillis
        renewedMillis = atMillis
    }

    /** Records that [instances], which include this one, were registered at [atMillis]. */
    public fun listed(instances: Int, atMillis: Long) {
        // The newest count stands until the next list, so that the time of an older one is that of its successor.
        while (counts.size > 1 && counts[1].atMillis <= atMillis - times.windowMillis) counts.removeFirst()
        counts.addLast(Count(instances, atMillis))
    }

    /** Returns the share that this instance may use at [nowMillis], from 0 to 1. */
    public fun at(nowMillis: Long): Double {
        val settled = registeredSinceMillis
            ?.let { nowMillis - it >= times.listMillis + times.windowMillis + LIST_CALL_MILLIS } == true
        return if (settled && !isExpired(nowMillis)) 1.0 / maxOf(1, mostInstances(nowMillis)) else 0.0
    }

    private fun isExpired(nowMillis: Long): Boolean =
        registeredSinceMillis == null || nowMillis - renewedMillis >= times.expiryMillis

    /** The most instances that were registered at any time in the last window. */
    private fun mostInstances(nowMillis: Long): Int {
        val current = counts.indexOfLast { it.atMillis <= nowMillis - times.windowMillis }.coerceAtLeast(0)
        return counts.drop(current).maxOfOrNull { it.instances } ?: 0
    }

    private companion object {
        // A list may be under way for this long after its call began.
        const val LIST_CALL_MILLIS = 1_000L
    }
}
