package org.parsleymoor.execution

import org.junit.jupiter.api.Test
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.RequestId
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class AttemptTrackerTest {
    private val engine = EndpointId("engine-1")

    private fun tracker(repeatable: Boolean, allowance: RetryAllowance = RetryAllowance { true }): AttemptTracker =
        AttemptTracker(RequestId("r"), repeatable, deadlineMillis = 1_000, allowance = allowance, maximumAttempts = 3)

    @Test
    fun `a payout whose connection broke is never sent again`() {
        val tracker = tracker(repeatable = false)
        tracker.nextAttempt()
        expectThat(tracker.failed(engine, AttemptError.BROKEN, 0))
            .isEqualTo(AttemptAction.GiveUp(Execution.Unknown, GiveUpCause.NOT_REPEATABLE))
    }

    @Test
    fun `a payout that no endpoint can have run is sent to another endpoint`() {
        val tracker = tracker(repeatable = false)
        tracker.nextAttempt()
        expectThat(tracker.failed(engine, AttemptError.NOT_CONNECTED, 0))
            .isEqualTo(AttemptAction.TryElsewhere(setOf(engine)))
    }

    @Test
    fun `a refusal after a broken attempt does not say that the request was not run`() {
        val tracker = tracker(repeatable = true)
        tracker.failed(engine, AttemptError.BROKEN, 0)
        tracker.failed(EndpointId("engine-2"), AttemptError.REFUSED, 0)
        expectThat(tracker.noEndpoint().execution).isEqualTo(Execution.Unknown)
    }

    @Test
    fun `a silent endpoint is retried once over a new connection before it is excluded`() {
        val tracker = tracker(repeatable = true)
        expectThat(tracker.failed(engine, AttemptError.SILENT, 0)).isEqualTo(AttemptAction.TryFreshConnection(engine))
        expectThat(tracker.failed(engine, AttemptError.SILENT, 0))
            .isEqualTo(AttemptAction.TryElsewhere(setOf(engine)))
    }

    @Test
    fun `no retry after the last attempt the deadline or the end of the budget`() {
        val used = tracker(repeatable = true)
        repeat(3) { used.nextAttempt() }
        expectThat(used.failed(engine, AttemptError.REFUSED, 0))
            .isEqualTo(AttemptAction.GiveUp(Execution.NotRun, GiveUpCause.ATTEMPTS_USED_UP))
        expectThat(tracker(repeatable = true).failed(engine, AttemptError.REFUSED, 1_000))
            .isEqualTo(AttemptAction.GiveUp(Execution.NotRun, GiveUpCause.DEADLINE_PASSED))
        expectThat(tracker(repeatable = true) { false }.failed(engine, AttemptError.REFUSED, 0))
            .isEqualTo(AttemptAction.GiveUp(Execution.NotRun, GiveUpCause.RETRY_BUDGET_EMPTY))
    }

    @Test
    fun `only safe methods and declared groups are repeatable`() {
        expectThat(RetryRules.serviceCallRepeatable("GET", groupRepeatable = false)).isTrue()
        expectThat(RetryRules.serviceCallRepeatable("POST", groupRepeatable = false)).isFalse()
        expectThat(RetryRules.serviceCallRepeatable("POST", groupRepeatable = true)).isTrue()
    }
}
