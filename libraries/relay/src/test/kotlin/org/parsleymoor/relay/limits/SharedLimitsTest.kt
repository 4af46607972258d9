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
    private val bound = ColdEndpointLimit(requestsPerSecond = 9.4, overage = 1.5, slack = 5.0)

    // A zone that returns cold: all instances want to send there at once, and together exceed what it bears.
    @ParameterizedTest
    @ValueSource(ints = [1, 3, 9, 19, 88, 750])
    fun `instances that share a cold endpoint stay within its bound in every second`(instances: Int) {
        val members = (1..instances).map { InstanceId("i$it") }.toSet()
        val shares = members.map { ColdEndpointBudget(it) }
        val taken = (0L until 3_000L step 10).flatMap { now ->
            shares.flatMap { share ->
                (1..2).filter { share.tryTake(EndpointId("e"), bound, members, now) }.map { now }
            }
        }
        val busiest = taken.maxOf { from -> taken.count { it in from until from + 1_000 } }
        expectThat(busiest).isLessThanOrEqualTo(bound.total)
        expectThat(busiest).isGreaterThan(0)
    }

    @ParameterizedTest
    @ValueSource(ints = [1, 9, 88])
    fun `instances together repeat no more than the budget in any window`(instances: Int) {
        val retries = RetryLimit(share = 0.2, extra = 58.0, windowMillis = 10_000)
        val budgets = (1..instances).map { SharedRetryBudget(retries) }
        var repeats = 0
        (0L until 10_000L step 100).forEach { now ->
            budgets.forEach { budget ->
                budget.recordRequest("s", now)
                repeat(3) { if (budget.tryTakeRetry("s", instances, now)) repeats++ }
            }
        }
        expectThat(repeats.toDouble()).isLessThanOrEqualTo(0.2 * 100 * instances + 58)
    }

    @Test
    fun `a budget that is spent is free again after the window`() {
        val budget = SharedRetryBudget(RetryLimit(share = 0.0, extra = 2.0, windowMillis = 1_000))
        val first = (1..5).count { budget.tryTakeRetry("s", 1, 0) }
        val later = (1..5).count { budget.tryTakeRetry("s", 1, 1_000) }
        expectThat(first).isLessThanOrEqualTo(2)
        expectThat(later).isGreaterThan(0)
    }
}
