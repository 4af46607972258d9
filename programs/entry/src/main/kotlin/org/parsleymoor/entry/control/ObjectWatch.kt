package org.parsleymoor.entry.control

import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.delay
import kotlinx.serialization.json.put
import org.parsleymoor.entry.protocol.ObjectChange
import org.parsleymoor.entry.protocol.ObjectKind
import org.parsleymoor.entry.protocol.StoredObject

/** Takes in what an [ObjectWatch] learns. */
internal interface ObjectListener {
    /** The objects are known to be current; called before what has changed. */
    fun onKnownCurrent() = Unit

    /** The store does not answer. */
    fun onStoreUnreachable() = Unit

    /** All objects of the kind. */
    fun onList(objects: List<StoredObject>)

    /** One object changed. */
    fun onChange(change: ObjectChange)
}

/** What the watches of an instance share. */
internal class WatchContext(val store: ObjectStore, val policy: WatchPolicy, private val runtime: ControlRuntime) {
    val ticks get() = runtime.ticks
    val log get() = runtime.log
    val clock get() = runtime.clock
    val access = StoreCallBackoff(runtime.clock)
}

/**
 * Keeps the objects of one [kind]: reads the list, then follows the changes, either from the store itself, when
 * [WatchContext.policy] says so, or from peers. A call that is not answered is repeated on another connection.
 * Objects never go back to an older revision.
 */
internal class ObjectWatch(
    val kind: ObjectKind,
    private val context: WatchContext,
    private val listener: ObjectListener,
) {
    private val store = context.store
    private val policy = context.policy
    private val log = context.log
    private val clock = context.clock
    private val copy = ObjectCopy(listener)
    private var lostSinceMillis: Long? = null
    private var tryAtOnce = false

    /** As of when the objects are known to be current, in milliseconds. */
    var currentMillis: Long = Long.MIN_VALUE / 2
        private set

    /** Whether the store does not answer, as far as this instance and its peers know. */
    val isStoreUnreachable: Boolean get() = lostSinceMillis != null

    /** Revision up to which the objects are known, or 0. */
    val knownRevision: Long get() = copy.revision ?: 0

    /** Revision up to which the objects have changed, or 0. */
    val changedRevision: Long get() = copy.changedRevision

    /** Returns what a peer that knows the objects up to [haveRevision] lacks, or null when it is not known here. */
    fun offer(haveRevision: Long): ObjectOffer? = copy.offer(haveRevision)

    /** Takes in what a peer offers. */
    fun accept(offer: ObjectOffer) {
        val taken = copy.accept(offer)
        if (!taken) return
        log.write("objects.fromPeer") {
            put("kind", kind.name)
            put("revision", offer.revision)
            put("changes", offer.objects.size + offer.removed.size)
        }
    }

    /**
     * Takes in that a peer's objects are complete up to [changedRevision] and were current at [atMillis], and whether
     * the store does not answer it; returns whether this instance lacks changes.
     */
    fun onPeerStatus(changedRevision: Long, atMillis: Long, lost: Boolean): Boolean {
        val lacks = copy.revision == null || changedRevision > knownRevision
        when {
            lacks -> Unit
            atMillis > currentMillis && !lost -> heard(atMillis)
            lost && !policy.follows && atMillis >= currentMillis - TOLD_MILLIS -> {
                context.access.failed()
                lost("a peer has no answer from the store")
            }
        }
        return lacks
    }

    /** Keeps the objects until the coroutine is cancelled. */
    suspend fun run() {
        while (true) {
            val due = copy.revision == null || policy.isDue(currentMillis)
            if (due && context.access.mayCall(kind, policy.follows)) {
                if (copy.revision == null) readList() else readChanges()
            } else {
                // An instance that begins to read the store, or begins again, wants to know at once where it stands.
                tryAtOnce = true
                context.ticks.await(IDLE_TICKS)
            }
        }
    }

    private suspend fun readList() {
        val list = store.list(kind).getOrElse { failure ->
            failed(failure)
            return
        }
        answered()
        copy.replace(list)
    }

    private suspend fun readChanges() {
        val waitMillis = if (tryAtOnce) AT_ONCE_MILLIS else policy.waitMillis
        tryAtOnce = false
        val changes = store.watch(kind, knownRevision, waitMillis, policy.marginMillis).getOrElse { failure ->
            if (failure == StoreFailure.HistoryGone || failure is StoreFailure.Unreadable) {
                log.write("store.relist", always = true) {
                    put("kind", kind.name)
                    put("revision", knownRevision)
                    put("reason", failure.message)
                }
                readList()
            } else {
                failed(failure)
            }
            return
        }
        answered()
        copy.apply(changes)
        // Changes come in groups, and each call is charged.
        if (changes.changes.isNotEmpty()) delay(GROUP_MILLIS)
    }

    private fun answered() {
        context.access.answered()
        heard(clock.nowMillis())
    }

    private fun failed(failure: StoreFailure) {
        context.access.failed()
        tryAtOnce = true
        lost(failure.message)
    }

    private fun heard(atMillis: Long) {
        lostSinceMillis?.let { since ->
            log.write("store.regained", always = true) {
                put("kind", kind.name)
                put("lostMillis", clock.nowMillis() - since)
            }
        }
        lostSinceMillis = null
        currentMillis = maxOf(currentMillis, atMillis)
        listener.onKnownCurrent()
    }

    private fun lost(reason: String) {
        if (lostSinceMillis == null) {
            lostSinceMillis = clock.nowMillis()
            log.write("store.lost", always = true) {
                put("kind", kind.name)
                put("reason", reason)
            }
        }
        listener.onStoreUnreachable()
    }

    private companion object {
        const val IDLE_TICKS = 2
        const val AT_ONCE_MILLIS = 10L
        const val GROUP_MILLIS = 120L

        // Two instances that the store answered last within this time have the same word of it.
        const val TOLD_MILLIS = 300L
    }
}
