package org.parsleymoor.entry.control

import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.delay
import kotlinx.serialization.json.put
import org.parsleymoor.core.Clock
import org.parsleymoor.entry.log.DecisionLog
import org.parsleymoor.entry.protocol.ObjectChange
import org.parsleymoor.entry.protocol.ObjectKind
import org.parsleymoor.entry.protocol.StoredObject

/** Takes in what an [ObjectWatch] reads. */
internal interface ObjectListener {
    /** The store answered; called before what it said. */
    fun onHeard() = Unit

    /** The store does not answer. */
    fun onLost() = Unit

    /** All objects of the kind. */
    fun onList(objects: List<StoredObject>)

    /** One object changed. */
    fun onChange(change: ObjectChange)
}

/**
 * Follows the objects of one [kind]: reads the list, then waits for changes, and reads the list again when the history
 * is gone. A call that is not answered is repeated on another connection. Objects never go back to an older revision.
 */
internal class ObjectWatch(
    private val kind: ObjectKind,
    private val store: ObjectStore,
    private val listener: ObjectListener,
    private val log: DecisionLog,
    private val clock: Clock,
) {
    private val objects = LinkedHashMap<String, StoredObject>()
    private var lostSinceMillis: Long? = null
    private var revision: Long? = null
    private var changedRevision = 0L

    /** Whether the store does not answer this instance, so that peers are asked. */
    val isLost: Boolean get() = lostSinceMillis != null

    /** Revision up to which the objects are known, or 0. */
    val knownRevision: Long get() = revision ?: 0

    /** Returns the objects for a peer that knows them up to [haveRevision]; null when it has missed nothing. */
    fun offer(haveRevision: Long): ObjectList? {
        val known = revision ?: return null
        return if (isLost || changedRevision <= haveRevision) null else ObjectList(objects.values.toList(), known)
    }

    /** Takes in what a peer offers while the store does not answer. */
    fun accept(offer: ObjectList) {
        if (!isLost || offer.revision <= knownRevision) return
        log.write("objects.fromPeer", always = true) {
            put("kind", kind.name)
            put("revision", offer.revision)
        }
        takeList(offer)
    }

    private fun takeList(list: ObjectList) {
        if (list.revision < knownRevision) return
        objects.clear()
        list.items.associateByTo(objects) { it.name }
        revision = list.revision
        changedRevision = list.revision
        listener.onList(list.items)
    }

    private fun takeChange(change: ObjectChange) {
        val known = objects[change.value.name]
        if (known != null && change.value.revision < known.revision) return
        changedRevision = maxOf(changedRevision, change.value.revision)
        if (change.removed) objects -= change.value.name else objects[change.value.name] = change.value
        listener.onChange(change)
    }

    /** Follows the objects until the coroutine is cancelled. */
    suspend fun run() {
        while (true) {
            val list = store.list(kind).getOrElse { failure ->
                lost(failure)
                null
            }
            if (list == null) {
                delay(RETRY_MILLIS)
            } else {
                heard()
                takeList(list)
                follow()
            }
        }
    }

    private suspend fun follow() {
        while (true) {
            val changes = store.watch(kind, knownRevision, WAIT_MILLIS).getOrElse { failure ->
                if (failure == StoreFailure.HistoryGone || failure is StoreFailure.Unreadable) {
                    log.write("store.relist", always = true) {
                        put("kind", kind.name)
                        put("revision", knownRevision)
                        put("reason", failure.message)
                    }
                    return
                }
                lost(failure)
                delay(RETRY_MILLIS)
                null
            } ?: continue
            heard()
            changes.changes.forEach(::takeChange)
            revision = maxOf(knownRevision, changes.revision)
        }
    }

    private fun heard() {
        lostSinceMillis?.let { since ->
            log.write("store.regained", always = true) {
                put("kind", kind.name)
                put("lostMillis", clock.nowMillis() - since)
            }
        }
        lostSinceMillis = null
        listener.onHeard()
    }

    private fun lost(failure: StoreFailure) {
        if (lostSinceMillis == null) {
            lostSinceMillis = clock.nowMillis()
            log.write("store.lost", always = true) {
                put("kind", kind.name)
                put("reason", failure.message)
            }
        }
        listener.onLost()
    }

    private companion object {
        // A connection that falls silent is noticed a second after this, within the four seconds after which an
        // instance counts as in touch again.
        const val WAIT_MILLIS = 2_000L

        // Between two calls to a store that does not answer.
        const val RETRY_MILLIS = 200L
    }
}
