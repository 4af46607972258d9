package org.parsleymoor.entry.control

import com.github.michaelbull.result.fold
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.put
import org.parsleymoor.coordination.HeldLease
import org.parsleymoor.coordination.LeaseAction
import org.parsleymoor.coordination.LeaseEvent
import org.parsleymoor.coordination.LeaseHolder
import org.parsleymoor.coordination.LeaseSettings
import org.parsleymoor.coordination.StoredLease
import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.PauseDetector
import org.parsleymoor.entry.log.DecisionLog
import org.parsleymoor.entry.protocol.ObjectKind
import org.parsleymoor.entry.protocol.StoredObject

/** The lease that lets one instance give orders to engines; its object is read and written in the object store. */
internal class OrderLease(
    self: Incarnation,
    private val store: ObjectStore,
    private val scope: CoroutineScope,
    private val log: DecisionLog,
    private val pauses: PauseDetector,
    leaseMillis: Long,
) {
    private val clock = pauses.clock
    private val holder = LeaseHolder(NAME, self, orderLeaseSettings(leaseMillis))
    private var refusedToken: Long? = null
    private var lastToken: Long? = null

    /** How long the lease is kept after the last order: another holder must not give one within the lease period. */
    val quietMillis: Long = leaseMillis + QUIET_MARGIN_MILLIS

    /**
     * Returns the lease when it may be used now. After a suspension it is used only once it has been renewed, because
     * another instance may hold it meanwhile.
     */
    fun held(): HeldLease? {
        val held = holder.held(clock.nowMillis())
        if (pauses.pausedSinceLastCall() && held != null) {
            log.write("lease.paused", always = true) { put("token", held.fencingToken) }
            refusedToken = held.fencingToken
        }
        return held?.takeIf { it.fencingToken != refusedToken }
    }

    /** Notes that an engine has seen a higher token than [token], which is not used again. */
    fun refused(token: Long) {
        refusedToken = token
        log.write("lease.refused", always = true) { put("token", token) }
    }

    /** Says whether this instance wants to give orders, and lets the time pass. */
    fun tick(wanted: Boolean) {
        handle(LeaseEvent.Wanted(wanted))
        val token = held()?.fencingToken
        if ((token == null) != (lastToken == null)) {
            log.write(
                if (token != null) "lease.held" else "lease.ended",
                always = true
            ) { put("token", token ?: lastToken) }
        }
        lastToken = token
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
        val event = store.read(ObjectKind.LEASES, NAME).fold(
            { LeaseEvent.Seen(stored(it)) },
            { if (it == StoreFailure.Absent) LeaseEvent.Seen(null) else LeaseEvent.ReadFailed },
        )
        handle(event)
    }

    private suspend fun write(action: LeaseAction.Write) {
        val text = Json.encodeToString(StoredRecord.serializer(), StoredRecord(action.record, action.writeId))
        val result = if (action.expectedVersion == 0L) {
            store.create(ObjectKind.LEASES, NAME, text)
        } else {
            store.replace(ObjectKind.LEASES, NAME, text, action.expectedVersion)
        }
        handle(result.fold({ LeaseEvent.Written(action.writeId, it.revision) }, { outcome(action, it) }))
    }

    private fun outcome(action: LeaseAction.Write, failure: StoreFailure): LeaseEvent = when (failure) {
        is StoreFailure.Conflict -> LeaseEvent.Conflicted(action.writeId, failure.current?.let(::stored))
        is StoreFailure.Refused, StoreFailure.Absent, StoreFailure.HistoryGone ->
            LeaseEvent.WriteFailed(action.writeId, mayHaveTakenEffect = false)
        is StoreFailure.Unanswered, is StoreFailure.Unreadable ->
            LeaseEvent.WriteFailed(action.writeId, mayHaveTakenEffect = true)
    }

    private fun stored(value: StoredObject): StoredLease? = try {
        val record = Json.decodeFromString(StoredRecord.serializer(), value.content)
        StoredLease(record.record, value.revision, record.writeId)
    } catch (cause: IllegalArgumentException) {
        log.write("lease.unreadable", always = true) { put("reason", cause.message) }
        null
    }

    private companion object {
        const val NAME = "orders"

        // An order that is given last may take this long to reach its engine.
        const val QUIET_MARGIN_MILLIS = 2_000L
    }
}

/**
 * Times of the lease for orders where the orders of two holders have to be [leaseMillis] apart: a contender waits that
 * long after the last order that the former holder could give.
 */
internal fun orderLeaseSettings(leaseMillis: Long): LeaseSettings = LeaseSettings(
    durationMillis = leaseMillis + USABLE_MILLIS + DELIVERY_MARGIN_MILLIS,
    renewMillis = 220,
    retryMillis = 150,
    responseMillis = 1_100,
    usableMillis = USABLE_MILLIS,
)

// Three renewals, so that one lost response does not interrupt a rollout. The engines load nothing while a contender
// waits for a holder that has failed, so it is no longer than that.
private const val USABLE_MILLIS = 700L

// Difference between the delays of two orders between regions, and of two clocks in four seconds.
private const val DELIVERY_MARGIN_MILLIS = 100L
