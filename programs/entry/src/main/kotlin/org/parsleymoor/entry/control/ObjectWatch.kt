package org.parsleymoor.entry.control

import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.delay
import org.parsleymoor.entry.Counter
import org.parsleymoor.entry.DEFAULT_STABLE_MILLIS
import org.parsleymoor.entry.protocol.ObjectChange
import org.parsleymoor.entry.protocol.ObjectKind
import org.parsleymoor.entry.protocol.StorePosition
import org.parsleymoor.entry.protocol.StoredObject
import kotlin.random.Random

/** Receives the objects and the changes that an [ObjectWatch] reads. */
internal interface ObjectListener {
    /**
     * The objects were confirmed to be current at [atMillis], which is earlier than now when a peer says so; called
     * before the changes that came with the confirmation.
     */
    fun onKnownCurrent(atMillis: Long) = Unit

    /** A call of this instance, or of a peer that reports it, failed. Not each such call is part of an outage. */
    fun onCallFailed() = Unit

    /** The objects that follow are of [era] of the store; called before its first list. */
    fun onEra(era: Long) = Unit

    /** The whole list of objects was read. */
    fun onList(objects: List<StoredObject>)

    /** One object changed. */
    fun onChange(change: ObjectChange)
}

/** Dependencies shared by the watches of an instance, which are up to date [stableMillis] after an outage. */
internal class WatchContext(
    val store: ObjectStore,
    val policy: WatchPolicy,
    private val runtime: ControlRuntime,
    val failedCalls: Counter = Counter(),
    stableMillis: Long = DEFAULT_STABLE_MILLIS,
    random: Random = Random.Default,
) {
    val ticks get() = runtime.ticks
    val log get() = runtime.log
    val clock get() = runtime.clock
    val backoff = StoreCallBackoff(runtime.clock, stableMillis, random)
}

/**
 * Keeps a copy of the objects of one [kind] up to date: reads the list, then watches for changes. The changes come from
 * the store when [WatchContext.policy] says so, and from peers otherwise. A call without a response is repeated on
 * another connection. The copy never goes back to an older revision of the same era of the store; once a later era is
 * known, only a whole list of that era is applied.
 */
internal class ObjectWatch(
    val kind: ObjectKind,
    private val context: WatchContext,
    private val listener: ObjectListener,
) {
    private val store = context.store
    private val policy = context.policy
    private val log = WatchLog(kind, context.log)
    private val clock = context.clock
    private val era = store.era
    private val copy = ObjectCopy(listener)
    private var unreachableSinceMillis: Long? = null
    private var probeNext = false

    init {
        era.onWithdrawn { copy.forgetErasAfter(era.newest) }
    }

    /** Time at which the objects were last confirmed to be current. */
    var currentMillis: Long = Long.MIN_VALUE / 2
        private set

    /** Whether the store does not respond to this instance, or to a peer that reports it. */
    val isStoreUnreachable: Boolean get() = unreachableSinceMillis != null

    /** Position up to which the copy is complete, or [StorePosition.START] before the first list. */
    val knownPosition: StorePosition get() = copy.position ?: StorePosition.START

    /** Position of the last change in the copy, or [StorePosition.START]. */
    val changedPosition: StorePosition get() = copy.changedPosition

    /** Whether the copy has been read and is of the newest known era of the store. */
    val isOfNewestEra: Boolean get() = copy.position?.era == era.newest

    /** Returns what a peer with a copy as of [have] lacks, or null when the copy here is not newer or not confirmed. */
    fun offer(have: StorePosition): ObjectOffer? =
        copy.offer(have)?.takeIf { knownPosition.era <= era.confirmed }

    /** Applies objects that a peer sent, if they are newer and not of a former era. */
    fun accept(offer: ObjectOffer) {
        if (offer.position.era < era.newest || !copy.accept(offer)) return
        log.fromPeer(offer)
    }

    /**
     * Applies the status of a peer's copy, which has all changes up to [changed] and was confirmed at [atMillis];
     * [storeUnreachable] when the store does not respond to the peer. A status of a former era of the store says
     * nothing. Returns whether the copy here lacks changes.
     */
    fun onPeerStatus(changed: StorePosition, atMillis: Long, storeUnreachable: Boolean): Boolean {
        if (changed.era < era.newest) return false
        val lacks = copy.position == null || changed > knownPosition
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
            val due = copy.position == null || policy.isDue(currentMillis)
            if (due && context.backoff.mayCall(kind, policy.follows)) {
                if (!policy.follows) log.takeover(copy.position?.let { clock.nowMillis() - currentMillis })
                if (copy.position == null) {
                    readList()
                } else if (!isOfNewestEra) {
                    readList("the store came back from a copy, in era ${era.newest}")
                } else {
                    readChanges()
                }
            } else {
                // The first call after a pause waits only briefly, so that the copy is confirmed without delay.
                probeNext = true
                context.ticks.await(IDLE_TICKS)
            }
        }
    }

    /** Reads the list for the first time, or again because of [reason]. */
    private suspend fun readList(reason: String? = null) {
        reason?.let { log.relist(knownPosition, it) }
        val list = store.list(kind).getOrElse { failure ->
            failed(failure.message)
            return
        }
        context.backoff.recordSuccess()
        confirmCurrent(clock.nowMillis())
        // A peer may have sent a newer state of the same era while the list was read.
        val replaced = copy.replace(list)
        // The watch from the list may be answered with the same reason, so that lists would follow without pause.
        if (reason != null || !replaced) delay(BURST_DELAY_MILLIS)
    }

    private suspend fun readChanges() {
        val waitMillis = if (probeNext) PROBE_WAIT_MILLIS else policy.waitMillis
        probeNext = false
        val from = knownPosition
        val changes = era.whileNotAfter(from.era) {
            store.watch(kind, from.revision, waitMillis, policy.marginMillis)
        }?.getOrElse { failure ->
            if (failure == StoreFailure.HistoryGone || failure is StoreFailure.Unreadable) {
                readList(failure.message)
                // The list may be readable while the changes stay unreadable.
                if (failure is StoreFailure.Unreadable) delay(UNREADABLE_DELAY_MILLIS)
            } else if (failure !is StoreFailure.EraUnconfirmed) {
                failed(failure.message)
            }
            return
        }
        // Changes that follow another era than the copy's would leave a gap.
        if (changes == null || changes.position.era != from.era || knownPosition.era != from.era) return
        context.backoff.recordSuccess()
        confirmCurrent(clock.nowMillis())
        copy.apply(changes)
        // Changes come in bursts and each call is billed: a short delay reads them together.
        if (changes.changes.isNotEmpty()) delay(BURST_DELAY_MILLIS)
    }

    private fun failed(reason: String) {
        context.failedCalls.increment()
        log.callFailed(reason)
        context.backoff.recordFailure()
        probeNext = true
        storeFailed(reason)
    }

    private fun confirmCurrent(atMillis: Long) {
        unreachableSinceMillis?.let { log.regained(clock.nowMillis() - it) }
        unreachableSinceMillis = null
        currentMillis = maxOf(currentMillis, atMillis)
        listener.onKnownCurrent(atMillis)
    }

    private fun storeFailed(reason: String) {
        if (unreachableSinceMillis == null) {
            unreachableSinceMillis = clock.nowMillis()
            log.lost(reason)
        }
        listener.onCallFailed()
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
