package org.parsleymoor.entry.control

import kotlinx.serialization.json.put
import org.parsleymoor.entry.log.StructuredLog
import org.parsleymoor.entry.protocol.ObjectKind
import org.parsleymoor.entry.protocol.StorePosition

/** Logs how the objects of one [kind] are read from the object store. */
internal class WatchLog(private val kind: ObjectKind, private val log: StructuredLog) {
    /** A call failed because of [reason]. */
    fun callFailed(reason: String) {
        log.write("store.callFailed") {
            put("kind", kind.name)
            put("reason", reason)
        }
    }

    /** An instance that is no follower calls the store, as no peer has confirmed its copy for [silentMillis]. */
    fun takeover(silentMillis: Long?) {
        log.write("store.takeover") {
            put("kind", kind.name)
            put("silentMillis", silentMillis)
        }
    }

    /** The list is read again because of [reason]; the copy here is as of [position]. */
    fun relist(position: StorePosition, reason: String) {
        log.write("store.relist", always = true) {
            put("kind", kind.name)
            put("revision", position.revision)
            put("era", position.era)
            put("reason", reason)
        }
    }

    /** The store does not respond to this instance or a peer because of [reason]. */
    fun lost(reason: String) {
        log.write("store.lost", always = true) {
            put("kind", kind.name)
            put("reason", reason)
        }
    }

    /** The store responds again, [lostMillis] after the first call that failed. */
    fun regained(lostMillis: Long) {
        log.write("store.regained", always = true) {
            put("kind", kind.name)
            put("lostMillis", lostMillis)
        }
    }

    /** A peer sent [offer], which is newer than the copy here. */
    fun fromPeer(offer: ObjectOffer) {
        log.write("objects.fromPeer") {
            put("kind", kind.name)
            put("revision", offer.position.revision)
            put("era", offer.position.era)
            put("changes", offer.objects.size + offer.removed.size)
        }
    }
}
