package org.parsleymoor.entry.control

import org.parsleymoor.core.InstanceId
import org.parsleymoor.peering.PeerLink

/** Tracks when each connection to a peer was last used, and chooses the peers to connect to. */
internal class PeerConnections(private val context: PeerContext) {
    private val settings = context.settings
    private val clock = context.clock
    private val receivedMillis = HashMap<PeerLink, Long>()
    private val sentMillis = HashMap<PeerLink, Long>()

    /** Records that a message arrived on [link]. */
    fun recordReceived(link: PeerLink) {
        receivedMillis[link] = clock.nowMillis()
    }

    /** Records that a message is sent on [links]. */
    fun recordSent(links: Collection<PeerLink>) {
        val nowMillis = clock.nowMillis()
        links.forEach { sentMillis[it] = nowMillis }
    }

    /** Removes [link], which was closed. */
    fun forget(link: PeerLink) {
        receivedMillis -= link
        sentMillis -= link
    }

    /** Returns those of [links] on which a message has arrived recently, or all of them if there are none. */
    fun responsive(links: List<PeerLink>): List<PeerLink> {
        val nowMillis = clock.nowMillis()
        return links.filter { nowMillis - (receivedMillis[it] ?: nowMillis) < SILENCE_MILLIS }.ifEmpty { links }
    }

    /** Returns those of [links] on which this instance has sent nothing for the keep-alive period. */
    fun idle(links: List<PeerLink>): List<PeerLink> {
        val nowMillis = clock.nowMillis()
        return links.filter { nowMillis - (sentMillis[it] ?: 0) >= KEEP_ALIVE_MILLIS }
    }

    /** Returns the addresses of the peers to keep connections to, while [links] are open. */
    fun desired(links: List<PeerLink>): Map<InstanceId, String> {
        val connected = links.map { it.remote.incarnation.instance }.toSet()
        val neighbours = context.membership.tree.neighbours(connected, clock.nowMillis())
        return neighbours.associate { it.id to it.address } + seeds(links)
    }

    /** An instance that starts while the object store is unreachable knows no peers, so it connects to the seeds. */
    private fun seeds(links: List<PeerLink>): Map<InstanceId, String> {
        if (context.deployment.members != null) return emptyMap()
        val connected = links.map { it.remote.address }.toSet() + settings.listen.peers.toString()
        return settings.seeds.map { it.toString() }.filter { it !in connected }.associateBy { InstanceId(it) }
    }

    private companion object {
        // Half of the time without status after which an instance begins to read the object store itself.
        const val KEEP_ALIVE_MILLIS = 450L

        // A hub that has been silent for this long is skipped: it sends at least every [KEEP_ALIVE_MILLIS].
        const val SILENCE_MILLIS = 1_200L
    }
}
