package org.parsleymoor.entry

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.parsleymoor.coordination.LeaseAction
import org.parsleymoor.coordination.LeaseEvent
import org.parsleymoor.coordination.LeaseManager
import org.parsleymoor.coordination.LeaseRecord
import org.parsleymoor.coordination.StoredLease
import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.InstanceId
import org.parsleymoor.entry.control.orderLeaseSettings
import strikt.api.expectThat
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan

class OrderLeaseTimesTest {
    // A holder that fails right after a renewal may give its last order at the end of the usable time.
    @ParameterizedTest
    @ValueSource(longs = [1_000, 3_000, 10_000])
    fun `orders of two holders are at least a lease period apart, for any configured period`(period: Long) {
        val settings = orderLeaseSettings(period)
        val former = Incarnation(InstanceId("former"), 1)
        val holder = LeaseManager("orders", former, settings)
        val acquired = firstWrite(holder, stored = null, fromMillis = 0)
        holder.handle(acquired.atMillis + 1, LeaseEvent.Written(acquired.write.writeId, version = 1))
        val lastOrderMillis = (0 until 2 * period).last { holder.held(it) != null }

        val contender = LeaseManager("orders", Incarnation(InstanceId("next"), 1), settings)
        val record = LeaseRecord(former, settings.durationMillis, released = false)
        val stored = StoredLease(record, version = 1, acquired.write.writeId)
        val takeover = firstWrite(contender, stored, fromMillis = acquired.atMillis + 1)
        expectThat(takeover.atMillis - lastOrderMillis).isGreaterThanOrEqualTo(period)
        expectThat(takeover.atMillis).isLessThan(period + 1_500)
    }

    private class Written(val write: LeaseAction.Write, val atMillis: Long)

    /** Answers each read of [holder] with [stored] and returns its first write. */
    private fun firstWrite(holder: LeaseManager, stored: StoredLease?, fromMillis: Long): Written {
        var actions = holder.handle(fromMillis, LeaseEvent.Wanted(true))
        var nowMillis = fromMillis
        while (actions.none { it is LeaseAction.Write }) {
            val event = if (actions.any { it is LeaseAction.Read }) LeaseEvent.Seen(stored) else LeaseEvent.Tick
            actions = holder.handle(++nowMillis, event)
        }
        return Written(actions.filterIsInstance<LeaseAction.Write>().single(), nowMillis)
    }
}
