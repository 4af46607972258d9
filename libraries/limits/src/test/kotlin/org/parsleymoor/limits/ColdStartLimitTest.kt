package org.parsleymoor.limits

import org.junit.jupiter.api.Test
import org.parsleymoor.core.EndpointId
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

class ColdStartLimitTest {
    private val engine = EndpointId("engine-1")
    private val limit = ColdStartLimit()

    @Test
    fun `an endpoint that was never seen is cold and gets no requests without a lease`() {
        expectThat(limit.isCold(engine)).isTrue()
        expectThat(limit.decide(engine, 0, 0)).isEqualTo(ColdStartDecision.NO_LEASE)
    }

    @Test
    fun `the lease holder sends up to the limit until the lease ends`() {
        limit.accept(ColdStartEvent.LeaseHeld(engine, untilMillis = 100), 0)
        expectThat(limit.decide(engine, 1, 0)).isEqualTo(ColdStartDecision.SLOT_FREE)
        expectThat(limit.decide(engine, 2, 0)).isEqualTo(ColdStartDecision.NO_SLOT)
        expectThat(limit.decide(engine, 1, 100)).isEqualTo(ColdStartDecision.NO_LEASE)
    }

    @Test
    fun `an endpoint becomes warm only after both the answers and the time`() {
        limit.accept(ColdStartEvent.Seen(engine, 1), 0)
        answer(count = 20, atMillis = 29_999)
        expectThat(limit.isCold(engine)).isTrue()
        val actions = limit.accept(ColdStartEvent.Answered(engine, 10.0, 10.0), 30_000)
        expectThat(actions).containsExactly(ColdStartAction.BecameWarm(engine))
    }

    @Test
    fun `an endpoint that reports itself cold stays cold`() {
        limit.accept(ColdStartEvent.Seen(engine, 1, cold = true), 0)
        answer(count = 40, atMillis = 60_000)
        expectThat(limit.isCold(engine)).isTrue()
    }

    @Test
    fun `a higher start count reinstates the limit at once`() {
        warm()
        val actions = limit.accept(ColdStartEvent.Seen(engine, 2), 70_000)
        expectThat(actions).containsExactly(ColdStartAction.BecameCold(engine))
        expectThat(limit.decide(engine, 0, 70_000)).isEqualTo(ColdStartDecision.NO_LEASE)
    }

    @Test
    fun `a refusal as cold reinstates the limit at once`() {
        warm()
        expectThat(limit.accept(ColdStartEvent.RefusedAsCold(engine), 70_000))
            .containsExactly(ColdStartAction.BecameCold(engine))
    }

    @Test
    fun `several slow answers in a row reinstate the limit and a single one does not`() {
        warm()
        val slow = ColdStartEvent.Answered(engine, observedMillis = 500.0, expectedMillis = 100.0)
        val actions = List(3) { limit.accept(slow, 70_000) }
        expectThat(actions.map { it.size }).containsExactly(0, 0, 1)
    }

    @Test
    fun `a late report of an earlier start is ignored`() {
        limit.accept(ColdStartEvent.Seen(engine, 5), 0)
        answer(count = 20, atMillis = 60_000)
        expectThat(limit.accept(ColdStartEvent.Seen(engine, 4, cold = true), 61_000).size).isEqualTo(0)
    }

    private fun warm() {
        limit.accept(ColdStartEvent.Seen(engine, 1), 0)
        answer(count = 20, atMillis = 60_000)
    }

    private fun answer(count: Int, atMillis: Long) =
        repeat(count) { limit.accept(ColdStartEvent.Answered(engine, 10.0, 10.0), atMillis) }
}
