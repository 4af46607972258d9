package org.parsleymoor.coordination

import org.junit.jupiter.api.Test
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.WeightVersion
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.single

class OrderReconcilerTest {
    private val old = WeightVersion("1")
    private val new = WeightVersion("2")
    private val lease = HeldLease(fencingToken = 7, untilMillis = 100_000, unfencedFromMillis = 2_000)
    private val reconciler = OrderReconciler<WeightVersion>(Incarnation(InstanceId("gateway-1"), 1))

    /** Guards against a rollout that takes more replicas out of service than allowed. */
    @Test
    fun `at most two engines load at a time`() {
        target(5, Fencing.IGNORED)

        val orders = readAll(5, EngineState(old, null))

        expectThat(orders).hasSize(2).all { get { wanted }.isEqualTo(new) }
    }

    /** Guards against a new lease holder that does not count the loads that its predecessor started. */
    @Test
    fun `loads that the previous holder started are counted`() {
        target(3, Fencing.IGNORED)
        val reads = reads(reconciler.handle(2_000, OrderEvent.Tick, lease))

        val orders = reads.flatMapIndexed { index, read ->
            val state = EngineState(old, new.takeIf { index < 2 })
            orders(reconciler.handle(2_010, OrderEvent.StateRead(read.endpoint, read.readId, state), lease))
        }

        expectThat(orders).isEmpty()
    }

    /** Guards against orders that arrive before late orders of the previous holder. */
    @Test
    fun `no reads or orders before the previous holder's orders can no longer arrive`() {
        target(2, Fencing.IGNORED)

        expectThat(reconciler.handle(1_999, OrderEvent.Tick, lease)).isEmpty()
    }

    /** Guards against an engine that accepts a late order of an earlier holder before it has seen the new token. */
    @Test
    fun `an engine that checks tokens first gets an order that confirms its state`() {
        target(1, Fencing.CHECKED)

        val orders = readAll(1, EngineState(old, null))

        expectThat(orders).single().get { wanted }.isEqualTo(old)
    }

    /** Guards against orders without a lease. */
    @Test
    fun `nothing is ordered without a lease`() {
        target(2, Fencing.IGNORED)

        expectThat(reconciler.handle(5_000, OrderEvent.Tick, null)).isEmpty()
    }

    /** Guards against an engine that stays in a wrong state after an order was lost. */
    @Test
    fun `a lost order is sent again after the state is read back`() {
        target(1, Fencing.IGNORED)
        val first = readAll(1, EngineState(old, null)).single()
        reconciler.handle(4_000, OrderEvent.Answered(first.endpoint, first.orderId, OrderOutcome.LOST), lease)

        val read = reads(reconciler.handle(6_100, OrderEvent.Tick, lease)).single()
        val answer = OrderEvent.StateRead(read.endpoint, read.readId, EngineState(old, null))
        val orders = orders(reconciler.handle(6_200, answer, lease))

        expectThat(orders).single().get { wanted }.isEqualTo(new)
    }

    /** Guards against forgetting an order in transit when the lease lapses briefly (exploration seed 1560). */
    @Test
    fun `an order in transit is remembered when the lease lapses briefly`() {
        target(1, Fencing.IGNORED)
        readAll(1, EngineState(old, null))
        reconciler.handle(3_000, OrderEvent.Tick, null)

        val read = reads(reconciler.handle(3_500, OrderEvent.Tick, lease)).single()
        val answer = OrderEvent.StateRead(read.endpoint, read.readId, EngineState(old, null))

        expectThat(orders(reconciler.handle(3_600, answer, lease))).isEmpty()
    }

    private fun target(count: Int, fencing: Fencing) {
        val targets = (0 until count).map { OrderTarget(EndpointId("engine-$it"), new, fencing) }
        reconciler.handle(0, OrderEvent.Targets(targets), null)
    }

    private fun readAll(count: Int, state: EngineState<WeightVersion>): List<OrderAction.SendOrder<WeightVersion>> {
        val reads = reads(reconciler.handle(2_000, OrderEvent.Tick, lease))
        check(reads.size == count) { "expected $count reads, found $reads" }
        return reads.flatMap {
            orders(reconciler.handle(2_010, OrderEvent.StateRead(it.endpoint, it.readId, state), lease))
        }
    }

    private fun reads(actions: List<OrderAction<WeightVersion>>) = actions.filterIsInstance<OrderAction.ReadState>()

    private fun orders(actions: List<OrderAction<WeightVersion>>) =
        actions.filterIsInstance<OrderAction.SendOrder<WeightVersion>>()
}
