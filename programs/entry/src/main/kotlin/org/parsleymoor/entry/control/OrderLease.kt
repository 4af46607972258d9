package org.parsleymoor.entry.control

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.put
import org.parsleymoor.coordination.HeldLease
import org.parsleymoor.coordination.LeaseAction
import org.parsleymoor.coordination.LeaseEvent
import org.parsleymoor.coordination.LeaseManager
import org.parsleymoor.coordination.LeaseSettings
import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.PauseDetector
import org.parsleymoor.entry.log.StructuredLog
import org.parsleymoor.entry.protocol.ObjectKind
import org.parsleymoor.entry.protocol.StorePosition

/** Lease, kept in the object store, that allows one instance at a time to give orders to engines. */
internal class OrderLease(
    self: Incarnation,
    private val store: ObjectStore,
    private val scope: CoroutineScope,
    private val log: StructuredLog,
    private val pauseDetector: PauseDetector,
    leaseMillis: Long,
) {
    private val clock = pauseDetector.clock
    private val settings = orderLeaseSettings(leaseMillis)
    private val holder = LeaseManager(NAME, self, settings)
    private var unusableToken: Long? = null
    private var loggedToken: Long? = null

    /** Time to hold the lease after the last order, because no other holder may give one within the lease period. */
    val holdAfterOrderMillis: Long = leaseMillis + ORDER_DELIVERY_MILLIS

    init {
        store.era.onNewEra(::endBeforeRestore)
        if (store.era.newest > 0) endBeforeRestore()
    }

    /**
     * Returns the lease if it may be used now. After the process was suspended, it may not be used before it has been
     * renewed, because another instance may have acquired it in the meantime.
     */
    fun held(): HeldLease? {
        val held = holder.held(clock.nowMillis())
        if (pauseDetector.pausedSinceLastCall() && held != null) {
            log.write("lease.paused", always = true) { put("token", held.fencingToken) }
            unusableToken = held.fencingToken
        }
        return held?.takeIf { it.fencingToken != unusableToken }
    }

    /** Stops the use of [token], because an engine has already seen a higher one. */
    fun markFenced(token: Long) {
        unusableToken = token
        log.write("lease.refused", always = true) { put("token", token) }
    }

    /** Advances the lease protocol to the current time; [wanted] says whether this instance has orders to give. */
    fun tick(wanted: Boolean) {
        handle(LeaseEvent.Wanted(wanted))
        val token = held()?.fencingToken
        if ((token == null) != (loggedToken == null)) {
            log.write(
                if (token != null) "lease.held" else "lease.ended",
                always = true
            ) { put("token", token ?: loggedToken) }
        }
        loggedToken = token
    }

    private fun endBeforeRestore() {
        holder.held(clock.nowMillis())?.let { held ->
            log.write("lease.void", always = true) {
                put("token", held.fencingToken)
                put("era", store.era.newest)
            }
        }
        handle(LeaseEvent.StoreRestored)
    }

    private fun handle(event: LeaseEvent) {
        holder.handle(clock.nowMillis(), event).forEach { action -> scope.launch { perform(action) } }
    }

    private suspend fun perform(action: LeaseAction) {
        when (action) {
            is LeaseAction.Read -> read()
            is LeaseAction.Write -> write(action)
        }
    }

    private suspend fun read() {
        val event = store.read(ObjectKind.LEASES, NAME).ofConfirmedEra(store.era).fold(
            { LeaseEvent.Seen(toStoredLease(it)) },
            { if (it == StoreFailure.Absent) LeaseEvent.Seen(null) else LeaseEvent.ReadFailed },
        )
        handle(event)
    }

    private suspend fun write(action: LeaseAction.Write) {
        val expected = StorePosition.ofNumber(action.expectedVersion)
        if (action.expectedVersion > 0 && expected.era < store.era.newest) {
            // The same revision may have been given out again, to the record of another holder.
            handle(LeaseEvent.WriteFailed(action.writeId, mayHaveTakenEffect = false))
            return
        }
        val text = Json.encodeToString(StoredLeaseRecord.serializer(), StoredLeaseRecord(action.record, action.writeId))
        val result = if (action.expectedVersion == 0L) {
            store.create(ObjectKind.LEASES, NAME, text)
        } else {
            store.replace(ObjectKind.LEASES, NAME, text, expected.revision)
        }
        handle(
            result.ofConfirmedEra(store.era).fold({
                LeaseEvent.Written(action.writeId, it.position.number)
            }, { failureEvent(action, it) })
        )
    }

    private fun failureEvent(action: LeaseAction.Write, failure: StoreFailure): LeaseEvent = when (failure) {
        is StoreFailure.Conflict -> LeaseEvent.Conflicted(action.writeId, failure.current?.let(::toStoredLease))
        is StoreFailure.Refused, StoreFailure.Absent, StoreFailure.HistoryGone ->
            LeaseEvent.WriteFailed(action.writeId, mayHaveTakenEffect = false)
        is StoreFailure.Unanswered, is StoreFailure.Unreadable, is StoreFailure.FormerEra,
        is StoreFailure.EraUnconfirmed, StoreFailure.EraChanged ->
            LeaseEvent.WriteFailed(action.writeId, mayHaveTakenEffect = true)
    }

    private fun toStoredLease(value: StoredVersion) = value.toStoredLease(settings.durationMillis) { reason ->
        log.write("lease.unreadable", always = true) { put("reason", reason) }
    }

    private companion object {
        const val NAME = "orders"

        // Longest time that the last order takes to reach its engine.
        const val ORDER_DELIVERY_MILLIS = 2_000L
    }
}

/** Fails while the [era] is not confirmed: engines that saw a token of a wrong era would refuse all later orders. */
private fun Result<StoredVersion, StoreFailure>.ofConfirmedEra(era: StoreEra): Result<StoredVersion, StoreFailure> =
    if (era.isConfirmed) this else Err(StoreFailure.EraUnconfirmed(era.newest))

/**
 * Returns lease settings that keep the orders of two holders at least [leaseMillis] apart: a contender waits that long
 * after the last order that the former holder may have given.
 */
internal fun orderLeaseSettings(leaseMillis: Long): LeaseSettings = LeaseSettings(
    durationMillis = leaseMillis + USABLE_MILLIS + DELIVERY_MARGIN_MILLIS,
    renewMillis = 220,
    retryMillis = 150,
    responseMillis = 1_100,
    usableMillis = USABLE_MILLIS,
)

// Three renewal periods, so that one lost response does not interrupt a rollout. Not longer, because no engine loads
// weights while a contender waits for the lease of a failed holder to expire.
private const val USABLE_MILLIS = 700L

// Covers the difference between the delivery times of two orders across regions, and clock drift over four seconds.
private const val DELIVERY_MARGIN_MILLIS = 100L
