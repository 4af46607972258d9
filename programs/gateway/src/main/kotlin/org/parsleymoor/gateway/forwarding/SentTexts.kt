package org.parsleymoor.gateway.forwarding

import org.parsleymoor.core.Incarnation
import org.parsleymoor.peering.TextHash

/**
 * Which piece texts this gateway has sent to each run of a peer, most recent last and at most [capacity] a peer. It is
 * a hint: a peer that has dropped a text asks for it again.
 */
internal class SentTexts(private val capacity: Int = DEFAULT_CAPACITY) {
    private val sent = HashMap<Incarnation, LinkedHashSet<TextHash>>()

    /** Records that [hashes] go to [peer] and returns those that had not been sent before. */
    @Synchronized
    fun recordAndSelectNew(peer: Incarnation, hashes: List<TextHash>): Set<TextHash> {
        sent.keys.removeIf { it.instance == peer.instance && it != peer }
        val known = sent.getOrPut(peer) { LinkedHashSet() }
        val new = hashes.filterNot { known.remove(it) }.toSet()
        known += hashes
        val surplus = known.take(maxOf(0, known.size - capacity))
        known.removeAll(surplus.toSet())
        return new
    }

    private companion object {
        const val DEFAULT_CAPACITY = 16_384
    }
}
