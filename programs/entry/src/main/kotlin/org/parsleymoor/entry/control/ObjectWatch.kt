package org.parsleymoor.entry.control

import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.delay
import kotlinx.serialization.json.put
import org.parsleymoor.entry.protocol.ObjectChange
import org.parsleymoor.entry.protocol.ObjectKind
import org.parsleymoor.entry.protocol.StoredObject

/** Receives the objects and the changes that an [ObjectWatch] reads. */
internal interface ObjectListener {
    /** The objects were confirmed to be current; called before the changes that came with the confirmation. */
    fun onKnownCurrent() = Unit

    /** The store does not respond. */
    fun onStoreUnreachable() = Unit

    /** The whole list of objects was read. */
    fun onList(objects: List<StoredObject>)

    /** One object changed. */
    fun onChange(change: ObjectChange)
}

/** Dependencies shared by the watches of an instance. */
internal class WatchContext(val store: ObjectStore, val policy: WatchPolicy, private val runtime: ControlRuntime) {
    val ticks get() = runtime.ticks
    val log get() = runtime.log
    val clock get() = runtime.clock
    val backoff = StoreCallBackoff(runtime.clock)
}

/**
 * Keeps a copy of the objects of one [kind] up to date: reads the list, then watches for changes. The changes come from
 * the store when [WatchContext.policy] says so, and from peers otherwise. A call without a response is repeated on
 * another connection. The copy never goes back to an older revision.
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
    private var unreachableSinceMillis: Long? = null
    private var probeNext = false

    /** Time at which the objects were last confirmed to be current. */
    var currentMillis: Long = Long.MIN_VALUE / 2
        private set

    /** Whether the store does not respond to this instance, or to a peer that reports it. */
    val isStoreUnreachable: Boolean get() = unreachableSinceMillis != null

    /** Revision up to which the copy is complete, or 0 before the first list. */
    val knownRevision: Long get() = copy.revision ?: 0

    /** Revision of the last change in the copy, or 0. */
    val changedRevision: Long get() = copy.changedRevision

    /** Returns what a peer with a copy at [haveRevision] lacks, or null when the copy here is not newer. */
    fun offer(haveRevision: Long): ObjectOffer? = copy.offer(haveRevision)

    /** Applies objects that a peer sent, if they are newer. */
    fun accept(offer: ObjectOffer) {
        val applied = copy.accept(offer)
        if (!applied) return
        log.write("objects.fromPeer") {
            put("kind", kind.name)
            put("revision", offer.revision)
            put("changes", offer.objects.size + offer.removed.size)
        }
    }

    /**
     * Applies the status of a peer's copy, which has all changes up to [changedRevision] and was confirmed at
     * [atMillis]; [storeUnreachable] when the store does not respond to the peer. Returns whether the copy here lacks
     * changes.
     */
    fun onPeerStatus(changedRevision: Long, atMillis: Long, storeUnreachable: Boolean): Boolean {
        val lacks = copy.revision == null || changedRevision > knownRevision
        when {
            lacks -> Unit
            atMillis > currentMillis && !storeUnreachable -> confirmCurrent(atMillis)
            storeUnreachable && !policy.follows && atMillis >= currentMillis - STATUS_TOLERANCE_MILLIS -> {
                context.backoff.recordFailure()
                storeFailed("a peer reports that the store does not respond")
            }
        }
        return lacks
    }

    /** Keeps the copy up to date until the coroutine is cancelled. */
    suspend fun run() {
        while (true) {
            val due = copy.revision == null || policy.isDue(currentMillis)
            if (due && context.backoff.mayCall(kind, policy.follows)) {
                if (copy.revision == null) readList() else readChanges()
            } else {
                // The first call after a pause waits only briefly, so that the copy is confirmed without delay.
                probeNext = true
                context.ticks.await(IDLE_TICKS)
            }
        }
    }

    private suspend fun readList() {
        val list = store.list(kind).getOrElse { failure ->
            failed(failure)
            return
        }
        responded()
        copy.replace(list)
    }

    private suspend fun readChanges() {
        val waitMillis = if (probeNext) PROBE_WAIT_MILLIS else policy.waitMillis
        probeNext = false
        val changes = store.watch(kind, knownRevision, waitMillis, policy.marginMillis).getOrElse { failure ->
            if (failure == StoreFailure.HistoryGone || failure is StoreFailure.Unreadable) {
                log.write("store.relist", always = true) {
                    put("kind", kind.name)
                    put("revision", knownRevision)
                    put("reason", failure.message)
                }
                readList()
                // The list may be readable while the changes stay unreadable.
                if (failure is StoreFailure.Unreadable) delay(UNREADABLE_DELAY_MILLIS)
            } else {
                failed(failure)
            }
            return
        }
        responded()
        copy.apply(changes)
        // Changes come in bursts and each call is billed: a short delay reads them together.
        if (changes.changes.isNotEmpty()) delay(BURST_DELAY_MILLIS)
    }

    private fun responded() {
        context.backoff.recordSuccess()
        confirmCurrent(clock.nowMillis())
    }

    private fun failed(failure: StoreFailure) {
        context.backoff.recordFailure()
        probeNext = true
        storeFailed(failure.message)
    }

    private fun confirmCurrent(atMillis: Long) {
        unreachableSinceMillis?.let { since ->
            log.write("store.regained", always = true) {
                put("kind", kind.name)
                put("lostMillis", clock.nowMillis() - since)
            }
        }
        unreachableSinceMillis = null
        currentMillis = maxOf(currentMillis, atMillis)
        listener.onKnownCurrent()
    }

    private fun storeFailed(reason: String) {
        if (unreachableSinceMillis == null) {
            unreachableSinceMillis = clock.nowMillis()
            log.write("store.lost", always = true) {
                put("kind", kind.name)
                put("reason", reason)
            }
        }
        listener.onStoreUnreachable()
    }

    private companion object {
        const val IDLE_TICKS = 2
        const val PROBE_WAIT_MILLIS = 10L
        const val BURST_DELAY_MILLIS = 120L
        const val UNREADABLE_DELAY_MILLIS = 1_000L

        // A peer's report that the store does not respond counts if the last confirmations are less than this apart.
        const val STATUS_TOLERANCE_MILLIS = 300L
    }
}
