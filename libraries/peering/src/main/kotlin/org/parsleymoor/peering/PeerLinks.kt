package org.parsleymoor.peering

import org.parsleymoor.core.InstanceId

/**
 * The open connections of the gateway [self]. Two gateways that dial each other at once have two connections. Both
 * sides prefer the same one, that of the dialling side whose name sorts first; otherwise each would send its heartbeats
 * on the connection that the other does not use, and both would be dropped as silent.
 */
internal class PeerLinks(private val self: InstanceId) {
    private val open = LinkedHashSet<PeerLink>()

    /** Returns the connection to use for new messages to [instance], or null. */
    @Synchronized
    operator fun get(instance: InstanceId): PeerLink? =
        open.filter { it.remote.incarnation.instance == instance && it.failure == null }.reduceOrNull(::better)

    /** Returns all open connections. */
    @Synchronized
    fun all(): List<PeerLink> = open.filter { it.failure == null }

    /** Returns the connection to use for each connected instance. */
    fun preferred(): List<PeerLink> = all().groupBy { it.remote.incarnation.instance }.keys.mapNotNull { get(it) }

    /** Returns the connections that this side dialled and that neither side uses any more. */
    fun surplus(): List<PeerLink> =
        all().filter { it.isOutbound && it.isIdle && get(it.remote.incarnation.instance) !== it }

    @Synchronized
    fun add(link: PeerLink) {
        open += link
    }

    @Synchronized
    fun remove(link: PeerLink) {
        open -= link
    }

    /** Of two connections in the order of their making, a later start of the remote process comes first. */
    private fun better(former: PeerLink, latter: PeerLink): PeerLink {
        val formerStart = former.remote.incarnation.startMillis
        val latterStart = latter.remote.incarnation.startMillis
        return when {
            formerStart != latterStart -> if (formerStart > latterStart) former else latter
            former.isOutbound == latter.isOutbound -> latter
            else -> if (dialler(former).value < dialler(latter).value) former else latter
        }
    }

    private fun dialler(link: PeerLink): InstanceId = if (link.isOutbound) self else link.remote.incarnation.instance
}
