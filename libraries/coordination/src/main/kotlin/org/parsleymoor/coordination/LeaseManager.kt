package org.parsleymoor.coordination

import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.PendingUpdate

/**
 * A lease that may be used until [untilMillis]. Orders carry its [fencingToken], the version of the lease object.
 * Before [unfencedFromMillis], orders of the previous holder may still arrive, which engines that ignore tokens would
 * carry out.
 */
public data class HeldLease(
    public val fencingToken: Long,
    public val untilMillis: Long,
    public val unfencedFromMillis: Long,
)

/**
 * Takes and renews one lease by conditional update of `leases/{name}`. The holder counts the lease from before the
 * request that wrote it and uses it for two thirds of its duration; a contender waits for the whole duration after it
 * saw the object. So two processes never use the lease at the same time while clock rates differ by less than a third.
 * A write whose response was lost is recognised by its write id when the object is read back. After a restore of the
 * store nobody takes or renews the lease for a whole duration, because the record of its holder may be gone. Not
 * thread-safe.
 */
public class LeaseManager(
    private val name: String,
    private val self: Incarnation,
    private val settings: LeaseSettings = LeaseSettings(),
) {
    private val operations = PendingLeaseOperations(settings)
    private var wanted = false
    private var stored: StoredLease? = null
    private var versionSeenMillis: Long? = null
    private var held: HeldLease? = null
    private var unfencedFromMillis: Long? = null
    private var nextPollMillis = Long.MIN_VALUE
    private var restoredMillis = Long.MIN_VALUE / 2
    private var writeCount = 0L

    /** Returns the lease if it may be used at [nowMillis]; to be checked again immediately before each order. */
    public fun held(nowMillis: Long): HeldLease? = held?.takeIf { nowMillis < it.untilMillis }

    /** Applies [event] at [nowMillis] and returns what to do next. */
    public fun handle(nowMillis: Long, event: LeaseEvent): List<LeaseAction> {
        when (event) {
            is LeaseEvent.Wanted -> wanted = event.wanted
            is LeaseEvent.Seen -> observe(nowMillis, event.stored)
            is LeaseEvent.ReadFailed -> operations.failRead(nowMillis)
            is LeaseEvent.Written -> confirm(nowMillis, event.writeId, event.version)
            is LeaseEvent.Conflicted -> conflict(nowMillis, event)
            is LeaseEvent.WriteFailed -> operations.failWrite(nowMillis, event)
            is LeaseEvent.StoreRestored -> restore(nowMillis)
            is LeaseEvent.Tick -> Unit
        }
        return listOfNotNull(nextAction(nowMillis))
    }

    private fun nextAction(nowMillis: Long): LeaseAction? {
        val heldBySelf = stored?.isHeldBy(self) == true
        return when {
            !operations.isIdle(nowMillis) -> null
            !wanted && held == null -> null
            nowMillis - restoredMillis < settings.durationMillis -> null
            operations.write.pending != null || versionSeenMillis == null -> read(nowMillis)
            !wanted -> write(nowMillis, released = true)
            heldBySelf && !renewalDue(nowMillis) -> null
            heldBySelf || stored.mayBeTaken(versionSeenMillis, nowMillis) -> write(
                nowMillis,
                released = false
            )
            nowMillis >= nextPollMillis -> read(nowMillis)
            else -> null
        }
    }

    private fun renewalDue(nowMillis: Long): Boolean {
        val sentMillis = held?.let { it.untilMillis - settings.usableMillis } ?: return true
        return nowMillis - sentMillis >= settings.renewMillis
    }

    /** Ends the use of the lease; a write that is under way may or may not be in the restored store. */
    private fun restore(nowMillis: Long) {
        held = null
        unfencedFromMillis = null
        stored = null
        versionSeenMillis = null
        operations.write.markUncertain()
        restoredMillis = nowMillis
    }

    private fun read(nowMillis: Long): LeaseAction {
        operations.startRead(nowMillis)
        operations.postpone(nowMillis)
        nextPollMillis = nowMillis + settings.renewMillis
        return LeaseAction.Read(name)
    }

    private fun write(nowMillis: Long, released: Boolean): LeaseAction {
        val writeId = "$self/$name/${writeCount++}"
        if (released) held = null
        operations.write.start(PendingUpdate(writeId, nowMillis, released))
        val record = LeaseRecord(self, settings.durationMillis, released)
        return LeaseAction.Write(name, record, stored?.version ?: 0, writeId)
    }

    private fun observe(nowMillis: Long, current: StoredLease?) {
        operations.endRead()
        if (current != null && current.version < (stored?.version ?: 0)) return
        val pending = operations.write.pending
        if (current != null && pending != null && current.writeId == pending.writeId) {
            return confirm(nowMillis, pending.writeId, current.version)
        }
        operations.write.endUncertain()
        if (versionSeenMillis == null || current?.version != stored?.version) versionSeenMillis = nowMillis
        stored = current
        if (current?.isHeldBy(self) != true) {
            held = null
            unfencedFromMillis = null
        }
    }

    private fun confirm(nowMillis: Long, writeId: String, version: Long) {
        val pending = operations.write.end(writeId) ?: return
        stored = StoredLease(LeaseRecord(self, settings.durationMillis, pending.content), version, writeId)
        versionSeenMillis = nowMillis
        val continued = held?.let { pending.sentMillis < it.untilMillis } ?: false
        val unfenced = unfencedFromMillis?.takeIf { continued }
            ?: (pending.sentMillis + settings.deliveryTimeoutMillis)
        unfencedFromMillis = unfenced.takeUnless { pending.content }
        held = HeldLease(version, pending.sentMillis + settings.usableMillis, unfenced)
            .takeUnless { pending.content || pending.sentMillis <= restoredMillis }
    }

    private fun conflict(nowMillis: Long, event: LeaseEvent.Conflicted) {
        if (operations.write.of(event.writeId) == null) return
        operations.write.markUncertain()
        observe(nowMillis, event.current)
    }
}

private fun StoredLease?.mayBeTaken(seenMillis: Long?, nowMillis: Long): Boolean =
    this == null || record.released || nowMillis - (seenMillis ?: nowMillis) >= record.durationMillis

private fun StoredLease.isHeldBy(self: Incarnation): Boolean = record.holder == self && !record.released
