package org.parsleymoor.peering

import org.parsleymoor.core.InstanceId

/**
 * The open links of the instance [self]. Two instances that dial each other at the same time have two links. Both
 * prefer the same one, dialled by the instance whose name sorts first. Otherwise each would send its heartbeats on the
 * link that the other does not use, and both links would be closed for silence.
 */
internal class PeerLinks(private val self: InstanceId) {
    private val openLinks = LinkedHashSet<PeerLink>()

    /** Returns the link to use for new messages to [instance], or null if there is none. */
    @Synchronized
    operator fun get(instance: InstanceId): PeerLink? =
        openLinks.filter { it.remote.incarnation.instance == instance && it.failure == null }.reduceOrNull(::choose)

    /** Returns all open links. */
    @Synchronized
    fun all(): List<PeerLink> = openLinks.filter { it.failure == null }

    /** Returns the link to use for each connected instance. */
    fun preferred(): List<PeerLink> = all().groupBy { it.remote.incarnation.instance }.keys.mapNotNull { get(it) }

    /** Returns the links dialled by this instance that neither side uses: not preferred and without open exchanges. */
    fun redundant(): List<PeerLink> =
        all().filter { it.isOutbound && it.isIdle && get(it.remote.incarnation.instance) !== it }

    @Synchronized
    fun add(link: PeerLink) {
        openLinks += link
    }

    @Synchronized
    fun remove(link: PeerLink) {
        openLinks -= link
    }

    /**
     * Returns the preferred one of two links, given in the order in which they were opened: the one to the remote
     * process that started later; of two dialled by the same side, [newer]; otherwise the one whose dialling instance
     * sorts first.
     */
    private fun choose(older: PeerLink, newer: PeerLink): PeerLink {
        val olderStart = older.remote.incarnation.startMillis
        val newerStart = newer.remote.incarnation.startMillis
        return when {
            olderStart != newerStart -> if (olderStart > newerStart) older else newer
            older.isOutbound == newer.isOutbound -> newer
            else -> if (dialerOf(older).value < dialerOf(newer).value) older else newer
        }
    }

    private fun dialerOf(link: PeerLink): InstanceId = if (link.isOutbound) self else link.remote.incarnation.instance
}
