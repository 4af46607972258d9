package org.parsleymoor.coordination

import org.parsleymoor.core.InstanceId

/** The connected peers and the last revision that each reported; chooses the peer to ask. */
internal class PeerRevisions {
    private val revisions = LinkedHashMap<InstanceId, Long>()
    private var askCount = 0

    fun setConnected(connected: Set<InstanceId>) {
        revisions.keys.retainAll(connected)
        connected.forEach { revisions.putIfAbsent(it, 0) }
    }

    fun record(peer: InstanceId, revision: Long) {
        revisions[peer] = revision
    }

    fun all(): List<InstanceId> = revisions.keys.toList()

    /** Returns one peer that reported at least [revision], or any peer if none did; successive calls rotate. */
    fun pick(revision: Long): List<InstanceId> {
        val candidates = revisions.filterValues { it >= revision }.keys.ifEmpty { revisions.keys }.toList()
        return candidates.drop(askCount++ % maxOf(candidates.size, 1)).take(1)
    }
}
