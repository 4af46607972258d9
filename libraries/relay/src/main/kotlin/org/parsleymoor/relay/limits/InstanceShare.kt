package org.parsleymoor.relay.limits

/**
 * This instance's share of a limit that holds in any [windowMillis] and that all registered instances divide equally.
 * The shares used within any window add up to no more than the whole, also while instances start, restart, leave or
 * lose contact with the object store: a share begins only when all others count this instance and what its former
 * process used has left the window, it ends when they may stop counting it, and it grows only when those that are gone
 * have used nothing for a window. Not thread-safe.
 */
public class InstanceShare(times: RegistrationTimes, private val windowMillis: Long) {
    private val registration = InstanceRegistration(times)
    private val counts = ArrayDeque<Count>()

    private data class Count(val instances: Int, val atMillis: Long)

    /** Records that the registration of this instance was renewed by a call that began at [atMillis]. */
    public fun renewed(atMillis: Long) {
        registration.renew(atMillis)
    }

    /** Records that [instances], which include this one, were registered at [atMillis]. */
    public fun listed(instances: Int, atMillis: Long) {
        // The newest count stands until the next list, so that the time of an older one is that of its successor.
        while (counts.size > 1 && counts[1].atMillis <= atMillis - windowMillis) counts.removeFirst()
        counts.addLast(Count(instances, atMillis))
    }

    /** Returns the share that this instance may use at [nowMillis], from 0 to 1. */
    public fun at(nowMillis: Long): Double {
        val settled = registration.isListed(nowMillis - windowMillis) && !registration.isExpired(nowMillis)
        return if (settled) 1.0 / maxOf(1, mostInstances(nowMillis)) else 0.0
    }

    /** The most instances that were registered at any time in the last window. */
    private fun mostInstances(nowMillis: Long): Int {
        val current = counts.indexOfLast { it.atMillis <= nowMillis - windowMillis }.coerceAtLeast(0)
        return counts.drop(current).maxOfOrNull { it.instances } ?: 0
    }
}
