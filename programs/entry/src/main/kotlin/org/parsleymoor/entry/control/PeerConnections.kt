package org.parsleymoor.entry.control

import org.parsleymoor.core.InstanceId
import org.parsleymoor.peering.PeerLink

/** The connections to peers: whom to keep one to, and when each last carried something. */
internal class PeerConnections(private val context: PeerContext) {
    private val settings = context.settings
    private val clock = context.clock
    private val heardMillis = HashMap<PeerLink, Long>()
    private val spokenMillis = HashMap<PeerLink, Long>()

    /** Notes that something arrived on [link]. */
    fun recordReceived(link: PeerLink) {
        heardMillis[link] = clock.nowMillis()
    }

    /** Notes that something is sent on [links]. */
    fun recordSent(links: Collection<PeerLink>) {
        val nowMillis = clock.nowMillis()
        links.forEach { spokenMillis[it] = nowMillis }
    }

    /** Forgets [link], which has ended. */
    fun forget(link: PeerLink) {
        heardMillis -= link
        spokenMillis -= link
    }

    /** Returns those of [links] on which something has arrived lately, or all when there are none. */
    fun responsive(links: List<PeerLink>): List<PeerLink> {
        val nowMillis = clock.nowMillis()
        return links.filter { nowMillis - (heardMillis[it] ?: nowMillis) < FRESH_MILLIS }.ifEmpty { links }
    }

    /** Returns those of [links] that have carried nothing from this instance for a while. */
    fun idle(links: List<PeerLink>): List<PeerLink> {
        val nowMillis = clock.nowMillis()
        return links.filter { nowMillis - (spokenMillis[it] ?: 0) >= QUIET_MILLIS }
    }

    /** Returns whom to keep connections to, with their addresses, when [links] are open. */
    fun desired(links: List<PeerLink>): Map<InstanceId, String> {
        val connected = links.map { it.remote.incarnation.instance }.toSet()
        val neighbours = context.membership.tree.neighbours(connected, clock.nowMillis())
        return neighbours.associate { it.id to it.address } + seeds(links)
    }

    /** Without the object store an instance that starts knows nobody; the seeds tell it what they know. */
    private fun seeds(links: List<PeerLink>): Map<InstanceId, String> {
        if (context.beliefs.members != null) return emptyMap()
        val connected = links.map { it.remote.address }.toSet() + settings.listen.peers.toString()
        return settings.seeds.map { it.toString() }.filter { it !in connected }.associateBy { InstanceId(it) }
    }

    private companion object {
        // Half of the time after which an instance that is told of the store's objects begins to ask for itself.
        const val QUIET_MILLIS = 450L

        // A hub that has been silent for this long is passed over: it speaks at least every [QUIET_MILLIS].
        const val FRESH_MILLIS = 1_200L
    }
}
