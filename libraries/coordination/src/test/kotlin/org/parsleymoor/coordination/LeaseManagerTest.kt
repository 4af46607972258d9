package org.parsleymoor.coordination

import org.junit.jupiter.api.Test
import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.InstanceId
import strikt.api.expectThat
import strikt.assertions.filterIsInstance
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.single

class LeaseManagerTest {
    private val self = Incarnation(InstanceId("gateway-1"), 1)
    private val other = Incarnation(InstanceId("gateway-2"), 1)
    private val settings = LeaseSettings(durationMillis = 15_000)
    private val manager = LeaseManager("orders", self, settings)

    /** Guards against a holder that uses its lease for longer than a contender waits. */
    @Test
    fun `the lease is counted from before the request and used for two thirds`() {
        val write = take(sentMillis = 1_000)

        manager.handle(2_500, LeaseEvent.Written(write.writeId, 1))

        expectThat(manager.held(10_999)).isNotNull().get { fencingToken }.isEqualTo(1)
        expectThat(manager.held(11_000)).isNull()
    }

    /** Guards against losing the lease because the response to its write was lost. */
    @Test
    fun `a write whose response was lost is recognised by its write id`() {
        val write = take(sentMillis = 1_000)
        manager.handle(2_000, LeaseEvent.WriteFailed(write.writeId, mayHaveTakenEffect = true))

        manager.handle(2_600, LeaseEvent.Seen(StoredLease(write.record, 1, write.writeId)))

        expectThat(manager.held(2_700)).isNotNull().get { untilMillis }.isEqualTo(11_000)
    }

    /** Guards against a contender that takes a lease while its holder still uses it. */
    @Test
    fun `a contender waits for the whole duration after it saw the lease`() {
        manager.handle(0, LeaseEvent.Wanted(true))
        manager.handle(100, LeaseEvent.Seen(StoredLease(LeaseRecord(other, 15_000), 4, "w")))

        expectThat(manager.handle(15_099, LeaseEvent.Tick)).filterIsInstance<LeaseAction.Write>().isEmpty()
        manager.handle(15_100, LeaseEvent.ReadFailed)
        expectThat(manager.handle(15_700, LeaseEvent.Tick)).filterIsInstance<LeaseAction.Write>().single()
            .get { expectedVersion }.isEqualTo(4)
    }

    /** Guards against waiting for the end of a released lease when a watch reports the release between two reads. */
    @Test
    fun `a released lease is taken at once`() {
        manager.handle(0, LeaseEvent.Wanted(true))
        manager.handle(100, LeaseEvent.Seen(StoredLease(LeaseRecord(other, 15_000), 4, "w4")))

        val released = StoredLease(LeaseRecord(other, 15_000, released = true), 5, "w5")
        val actions = manager.handle(1_000, LeaseEvent.Seen(released))

        expectThat(actions).filterIsInstance<LeaseAction.Write>().single().get { expectedVersion }.isEqualTo(5)
    }

    /** Guards against orders of the previous holder that arrive after those of the new one. */
    @Test
    fun `a new holder waits until earlier orders can no longer arrive`() {
        val write = take(sentMillis = 1_000)

        manager.handle(1_100, LeaseEvent.Written(write.writeId, 1))

        expectThat(manager.held(1_200)).isNotNull().get { unfencedFromMillis }.isEqualTo(3_000)
    }

    /** Guards against orders of two holders after a restore, which may remove the record of the holder. */
    @Test
    fun `a restore ends the lease at once and nobody takes it for a whole duration`() {
        val write = take(sentMillis = 1_000)
        manager.handle(1_100, LeaseEvent.Written(write.writeId, 1))
        manager.handle(2_000, LeaseEvent.StoreRestored)

        expectThat(manager.held(2_000)).isNull()
        expectThat((2_001L..16_999L step 100).flatMap { manager.handle(it, LeaseEvent.Tick) }).isEmpty()
        expectThat(manager.handle(17_000, LeaseEvent.Tick)).single().isEqualTo(LeaseAction.Read("orders"))
    }

    /** Guards against taking a lease without waiting because its record is absent, released or this process's own. */
    @Test
    fun `the wait after a restore does not depend on the record`() {
        val own = StoredLease(LeaseRecord(self, 15_000), 7, "w7")
        listOf(null, own, own.copy(record = own.record.copy(released = true))).forEach { found ->
            val contender = LeaseManager("orders", self, settings)
            contender.handle(0, LeaseEvent.Wanted(true))
            contender.handle(10, LeaseEvent.StoreRestored)

            expectThat(contender.handle(20, LeaseEvent.Seen(found))).isEmpty()
            expectThat(contender.held(20)).isNull()
            expectThat(contender.handle(15_010, LeaseEvent.Tick)).filterIsInstance<LeaseAction.Write>().single()
        }
    }

    /** Guards against the use of a lease by a write that was sent to the store of before. */
    @Test
    fun `a write that was sent before a restore gives no lease when it is confirmed or found`() {
        val write = take(sentMillis = 1_000)
        manager.handle(1_050, LeaseEvent.StoreRestored)
        manager.handle(1_100, LeaseEvent.Written(write.writeId, 1))
        expectThat(manager.held(1_100)).isNull()

        val second = LeaseManager("orders", self, settings)
        second.handle(400, LeaseEvent.Wanted(true))
        val sent = second.handle(1_000, LeaseEvent.Seen(null)).filterIsInstance<LeaseAction.Write>().single()
        second.handle(1_050, LeaseEvent.StoreRestored)
        second.handle(1_100, LeaseEvent.Seen(StoredLease(sent.record, 9, sent.writeId)))
        expectThat(second.held(1_100)).isNull()
    }

    /** Guards against a second restore that shortens the wait of the first. */
    @Test
    fun `a second restore starts the wait again`() {
        manager.handle(0, LeaseEvent.Wanted(true))
        manager.handle(10, LeaseEvent.StoreRestored)
        manager.handle(10_000, LeaseEvent.StoreRestored)

        expectThat(manager.handle(24_999, LeaseEvent.Seen(null))).isEmpty()
        expectThat(manager.handle(25_000, LeaseEvent.Tick)).filterIsInstance<LeaseAction.Write>().single()
    }

    private fun take(sentMillis: Long): LeaseAction.Write {
        manager.handle(sentMillis - 600, LeaseEvent.Wanted(true))
        return manager.handle(sentMillis, LeaseEvent.Seen(null)).filterIsInstance<LeaseAction.Write>().single()
    }
}
