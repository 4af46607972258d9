package org.parsleymoor.coordination

import org.parsleymoor.core.InstanceId

/** The connected peers and the revision that each last named; chooses whom to ask. */
internal class PeerRevisions {
    private val revisions = LinkedHashMap<InstanceId, Long>()
    private var askCount = 0

    fun assign(connected: Set<InstanceId>) {
        revisions.keys.retainAll(connected)
        connected.forEach { revisions.putIfAbsent(it, 0) }
    }

    fun note(peer: InstanceId, revision: Long) {
        revisions[peer] = revision
    }

    fun all(): List<InstanceId> = revisions.keys.toList()

    /** Returns one peer that names at least [revision], or any if none does, a different one each time. */
    fun next(revision: Long): List<InstanceId> {
        val ahead = revisions.filterValues { it >= revision }.keys.ifEmpty { revisions.keys }.toList()
        return ahead.drop(askCount++ % maxOf(ahead.size, 1)).take(1)
    }
}
