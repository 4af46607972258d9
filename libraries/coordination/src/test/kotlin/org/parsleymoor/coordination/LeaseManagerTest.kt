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

    private fun take(sentMillis: Long): LeaseAction.Write {
        manager.handle(sentMillis - 600, LeaseEvent.Wanted(true))
        return manager.handle(sentMillis, LeaseEvent.Seen(null)).filterIsInstance<LeaseAction.Write>().single()
    }
}
