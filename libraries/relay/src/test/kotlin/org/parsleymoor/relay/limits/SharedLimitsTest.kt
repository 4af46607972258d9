package org.parsleymoor.relay.limits

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.InstanceId
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo

class SharedLimitsTest {
    private val limit = ColdEndpointLimit(requestsPerSecond = 9.4, overage = 1.5, slack = 5.0)

    // When a zone returns with cold endpoints, all instances send to it at once and together exceed its limit.
    @ParameterizedTest
    @ValueSource(ints = [1, 3, 9, 19, 88, 750])
    fun `instances that share a cold endpoint stay within its limit in every second`(instances: Int) {
        val members = (1..instances).map { InstanceId("i$it") }.toSet()
        val budgets = members.map { ColdEndpointBudget(it) }
        val taken = (0L until 3_000L step 10).flatMap { now ->
            budgets.flatMap { budget ->
                (1..2).filter { budget.tryTake(EndpointId("e"), limit, InstancePart.OfLimit(members), now) }.map { now }
            }
        }
        val busiest = taken.maxOf { from -> taken.count { it in from until from + 1_000 } }
        expectThat(busiest).isLessThanOrEqualTo(limit.total)
        expectThat(busiest).isGreaterThan(0)
    }

    @ParameterizedTest
    @ValueSource(ints = [1, 9, 88])
    fun `instances together retry no more than the budget allows in any window`(instances: Int) {
        val retryLimit = RetryLimit(share = 0.2, extra = 58.0, windowMillis = 10_000)
        val budgets = (1..instances).map { SharedRetryBudget(retryLimit) { 1.0 / instances } }
        var retries = 0
        (0L until 10_000L step 100).forEach { now ->
            budgets.forEach { budget ->
                budget.recordRequest("s", now)
                repeat(3) { if (budget.tryTakeRetry("s", now)) retries++ }
            }
        }
        expectThat(retries.toDouble()).isLessThanOrEqualTo(0.2 * 100 * instances + 58)
    }

    @Test
    fun `a budget that is used up is available again after the window`() {
        val budget = SharedRetryBudget(RetryLimit(share = 0.0, extra = 2.0, windowMillis = 1_000)) { 1.0 }
        val first = (1..5).count { budget.tryTakeRetry("s", 0) }
        val later = (1..5).count { budget.tryTakeRetry("s", 1_000) }
        expectThat(first).isLessThanOrEqualTo(2)
        expectThat(later).isGreaterThan(0)
    }
}
