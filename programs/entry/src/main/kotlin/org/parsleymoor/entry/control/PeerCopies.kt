package org.parsleymoor.entry.control

import org.parsleymoor.core.Clock
import org.parsleymoor.entry.protocol.StorePosition
import org.parsleymoor.peering.ObjectFreshnessDigest
import org.parsleymoor.peering.PeerMessage

/**
 * The part that the copies of the stored objects, kept by [watches] by kind, have in the messages between peers: what
 * this instance tells of them, requests and offers. Each message also tells its receiver the confirmed era of the
 * store.
 */
internal class PeerCopies(
    private val watches: Map<String, ObjectWatch>,
    private val era: StoreEra,
    private val clock: Clock,
) {
    /** Returns [message] with the status of the copies; a copy of a former era says nothing about the current one. */
    fun addStatus(message: PeerMessage.InstanceNews): PeerMessage.InstanceNews {
        val nowMillis = clock.nowMillis()
        val current = watches.filterValues { it.knownPosition.era == era.confirmed && it.knownPosition.revision > 0 }
        val known = current.map { (kind, watch) ->
            ObjectFreshnessDigest(
                kind = kind,
                changedRevision = watch.changedPosition.revision,
                ageMillis = nowMillis - watch.currentMillis,
                lost = watch.isStoreUnreachable,
            )
        }
        return message.copy(known = known, era = era.confirmed)
    }

    /** Applies the status that [peer] sent, and returns the requests for what the copies here lack. */
    fun receiveStatus(message: PeerMessage.InstanceNews, peer: String): List<PeerMessage.ObjectsWanted> {
        val nowMillis = clock.nowMillis()
        era.learnFromPeer(message.era, peer)
        return message.known.mapNotNull { known ->
            val changed = StorePosition(message.era, known.changedRevision)
            watches[known.kind]?.takeIf { it.onPeerStatus(changed, nowMillis - known.ageMillis, known.lost) }
                ?.let { PeerMessage.ObjectsWanted(known.kind, it.knownPosition.revision, it.knownPosition.era) }
        }
    }

    /** Returns what the sender of [message] lacks, or null when the copy here is not newer. */
    fun offer(message: PeerMessage.ObjectsWanted): PeerMessage.ObjectsOffered? =
        watches[message.kind]?.offer(StorePosition(message.era, message.haveRevision))?.toMessage(message.kind)

    /** Applies the objects that [peer] sent, if they are newer. */
    fun accept(message: PeerMessage.ObjectsOffered, peer: String) {
        era.learnFromPeer(message.era, peer)
        watches[message.kind]?.accept(message.toOffer())
    }
}
