package org.parsleymoor.coordination

import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.PendingUpdate

/**
 * A lease that is held until [untilMillis]. Orders carry [fencingToken], the version of the lease object. Engines that
 * ignore the token get orders only from [unfencedFromMillis] on, when those of the previous holder are delivered.
 */
public data class HeldLease(
    public val fencingToken: Long,
    public val untilMillis: Long,
    public val unfencedFromMillis: Long,
)

/**
 * Takes and renews one lease by conditional update of `leases/{name}`. The lease is counted from before the request
 * that wrote it and is used for two thirds of its duration; a contender waits for the whole duration after it saw the
 * object. The two never overlap while clock rates differ by less than a third. A write whose response was lost is read
 * back and recognised by its write id. Not safe for use from several threads.
 */
public class LeaseHolder(
    private val name: String,
    private val self: Incarnation,
    private val settings: LeaseSettings = LeaseSettings(),
) {
    private val calls = LeaseCalls(settings)
    private var wanted = false
    private var stored: StoredLease? = null
    private var storedSeenMillis: Long? = null
    private var held: HeldLease? = null
    private var unfencedFromMillis: Long? = null
    private var nextPollMillis = Long.MIN_VALUE
    private var writeCount = 0L

    /** Returns the lease when it may be used at [nowMillis]; to be asked again immediately before each order. */
    public fun held(nowMillis: Long): HeldLease? = held?.takeIf { nowMillis < it.untilMillis }

    /** Applies [event] at [nowMillis] and returns what has to be done next. */
    public fun handle(nowMillis: Long, event: LeaseEvent): List<LeaseAction> {
        when (event) {
            is LeaseEvent.Wanted -> wanted = event.wanted
            is LeaseEvent.Seen -> observe(nowMillis, event.stored)
            is LeaseEvent.ReadFailed -> calls.failRead(nowMillis)
            is LeaseEvent.Written -> confirm(nowMillis, event.writeId, event.version)
            is LeaseEvent.Conflicted -> conflict(nowMillis, event)
            is LeaseEvent.WriteFailed -> calls.failWrite(nowMillis, event)
            is LeaseEvent.Tick -> Unit
        }
        return listOfNotNull(next(nowMillis))
    }

    private fun next(nowMillis: Long): LeaseAction? {
        val own = stored?.isHeldBy(self) == true
        return when {
            !calls.idle(nowMillis) -> null
            !wanted && held == null -> null
            calls.write.pending != null || storedSeenMillis == null -> read(nowMillis)
            !wanted -> write(nowMillis, released = true)
            own && !renewalDue(nowMillis) -> null
            own || mayTake(nowMillis) -> write(nowMillis, released = false)
            nowMillis >= nextPollMillis -> read(nowMillis)
            else -> null
        }
    }

    private fun renewalDue(nowMillis: Long): Boolean {
        val sentMillis = held?.let { it.untilMillis - settings.usableMillis } ?: return true
        return nowMillis - sentMillis >= settings.renewMillis
    }

    private fun mayTake(nowMillis: Long): Boolean {
        val record = stored?.record
        val seenMillis = storedSeenMillis ?: nowMillis
        return record == null || record.released || nowMillis - seenMillis >= record.durationMillis
    }

    private fun read(nowMillis: Long): LeaseAction {
        calls.startRead(nowMillis)
        calls.postpone(nowMillis)
        nextPollMillis = nowMillis + settings.renewMillis
        return LeaseAction.Read(name)
    }

    private fun write(nowMillis: Long, released: Boolean): LeaseAction {
        val writeId = "$self/$name/${writeCount++}"
        if (released) held = null
        calls.write.start(PendingUpdate(writeId, nowMillis, released))
        val record = LeaseRecord(self, settings.durationMillis, released)
        return LeaseAction.Write(name, record, stored?.version ?: 0, writeId)
    }

    private fun observe(nowMillis: Long, current: StoredLease?) {
        calls.endRead()
        if (current != null && current.version < (stored?.version ?: 0)) return
        val pending = calls.write.pending
        if (current != null && pending != null && current.writeId == pending.writeId) {
            return confirm(nowMillis, pending.writeId, current.version)
        }
        calls.write.endUncertain()
        if (storedSeenMillis == null || current?.version != stored?.version) storedSeenMillis = nowMillis
        stored = current
        if (current?.isHeldBy(self) != true) {
            held = null
            unfencedFromMillis = null
        }
    }

    private fun confirm(nowMillis: Long, writeId: String, version: Long) {
        val pending = calls.write.end(writeId) ?: return
        stored = StoredLease(LeaseRecord(self, settings.durationMillis, pending.content), version, writeId)
        storedSeenMillis = nowMillis
        val continued = held?.let { pending.sentMillis < it.untilMillis } ?: false
        val unfenced = unfencedFromMillis?.takeIf { continued }
            ?: (pending.sentMillis + settings.longestDeliveryMillis)
        unfencedFromMillis = unfenced.takeUnless { pending.content }
        held = HeldLease(version, pending.sentMillis + settings.usableMillis, unfenced).takeUnless { pending.content }
    }

    private fun conflict(nowMillis: Long, event: LeaseEvent.Conflicted) {
        if (calls.write.of(event.writeId) == null) return
        calls.write.markUncertain()
        observe(nowMillis, event.current)
    }
}

private fun StoredLease.isHeldBy(self: Incarnation): Boolean = record.holder == self && !record.released
