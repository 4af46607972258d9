package org.parsleymoor.relay.rollout

import org.junit.jupiter.api.Test
import org.parsleymoor.relay.MODEL
import org.parsleymoor.relay.engines
import org.parsleymoor.relay.placement.TargetWeights
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class RolloutPlanTest {
    private val plan = RolloutPlan(takeoverMillis = 5_000)
    private val table = engines(8)
    private val targets = mapOf(MODEL to TargetWeights(MODEL, 2, 0))

    @Test
    fun `only some engines load at a time, and each is selected once`() {
        val first = plan.enginesToLoad(table, targets, 0)
        expectThat(first).hasSize(3)
        first.forEach { plan.loadStarted(it.endpoint.entry.id, 0) }
        expectThat(plan.enginesToLoad(table, targets, 10)).isEmpty()
    }

    @Test
    fun `an engine that has loaded is followed by another, and one that failed is retried later`() {
        val first = plan.enginesToLoad(table, targets, 0)
        first.forEach { plan.loadStarted(it.endpoint.entry.id, 0) }
        first[0].endpoint.learnWeights(MODEL, 2)
        plan.loadEnded(first[0].endpoint.entry.id, loaded = true, 100)
        plan.loadEnded(first[1].endpoint.entry.id, loaded = false, 100)
        val next = plan.enginesToLoad(table, targets, 200).map { it.endpoint.entry.id }
        expectThat(next).hasSize(2)
        expectThat(first.map { it.endpoint.entry.id }.any { it in next }).isFalse()
    }

    @Test
    fun `no engine is outdated when all have the weights or there is no target`() {
        table.all.forEach { it.learnWeights(MODEL, 2) }
        expectThat(plan.outdatedEngines(table, targets)).isEmpty()
        expectThat(plan.outdatedEngines(table, emptyMap())).isEmpty()
    }

    // Two instances must not both send orders within one lease period.
    @Test
    fun `the plan is recently active after an order until the takeover time`() {
        plan.orderSent(1_000)
        expectThat(plan.isRecentlyActive(4_000)).isTrue()
        expectThat(plan.isRecentlyActive(6_000)).isFalse()
        expectThat(plan.enginesToLoad(table, targets, 0).size).isEqualTo(3)
    }
}
