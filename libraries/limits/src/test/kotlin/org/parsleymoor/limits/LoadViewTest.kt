package org.parsleymoor.limits

import org.junit.jupiter.api.Test
import org.parsleymoor.core.AttemptId
import org.parsleymoor.core.EndpointId
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class LoadViewTest {
    private val engine = EndpointId("engine-1")
    private val view = LoadView()

    @Test
    fun `own dispatches are added to a report taken before them`() {
        view.report(report(running = 3, queued = 4_000, takenMillis = 100))
        view.dispatched(engine, AttemptId("a"), 2_000, nowMillis = 110)
        val load = view.load(engine, prefillTokensPerSecond = 0.0, nowMillis = 120)
        expectThat(load.running).isEqualTo(4)
        expectThat(load.queuedPrefillTokens).isEqualTo(6_000)
    }

    @Test
    fun `a dispatch covered by the report is not counted twice`() {
        view.dispatched(engine, AttemptId("a"), 2_000, nowMillis = 90)
        view.report(report(running = 1, queued = 2_000, takenMillis = 100))
        expectThat(view.load(engine, 0.0, 120).running).isEqualTo(1)
        expectThat(view.load(engine, 0.0, 120).queuedPrefillTokens).isEqualTo(2_000)
    }

    @Test
    fun `a request that ended after the report was taken is subtracted`() {
        view.dispatched(engine, AttemptId("a"), 2_000, nowMillis = 90)
        view.report(report(running = 5, queued = 0, takenMillis = 100))
        view.finished(AttemptId("a"))
        expectThat(view.load(engine, 0.0, 120).running).isEqualTo(4)
    }

    @Test
    fun `the queue estimate decreases as the report ages`() {
        view.report(report(running = 1, queued = 4_000, takenMillis = 0))
        expectThat(view.load(engine, prefillTokensPerSecond = 8_000.0, nowMillis = 250).queuedPrefillTokens)
            .isEqualTo(2_000)
    }

    @Test
    fun `an older report does not replace a newer one`() {
        view.report(report(running = 1, queued = 0, takenMillis = 200))
        view.report(report(running = 9, queued = 0, takenMillis = 100))
        expectThat(view.load(engine, 0.0, 210).running).isEqualTo(1)
    }

    @Test
    fun `the retry budget is a tenth of the first attempts`() {
        val budget = RetryBudget(extra = 0)
        repeat(30) { budget.firstAttempt(it.toLong()) }
        expectThat((0 until 10).count { budget.tryRetry(1_000) }).isEqualTo(3)
        expectThat(budget.tryRetry(20_000)).isEqualTo(false)
    }

    private fun report(running: Int, queued: Long, takenMillis: Long) =
        LoadReport(engine, startCount = 1, cold = false, running, queued, takenMillis)
}
