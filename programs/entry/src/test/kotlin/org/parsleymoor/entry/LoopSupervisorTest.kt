package org.parsleymoor.entry

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.parsleymoor.core.Clock
import org.parsleymoor.entry.control.LoopSupervisor
import org.parsleymoor.entry.log.StructuredLog
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.io.ByteArrayOutputStream
import java.io.PrintStream

/** Guards against a control loop that ends with an exception and is never started again. */
@OptIn(ExperimentalCoroutinesApi::class)
class LoopSupervisorTest {
    private val output = ByteArrayOutputStream()
    private val metrics = EntryMetrics()
    private val uncaught = ArrayList<Throwable>()
    private val starts = ArrayList<Long>()

    @Test
    fun `a loop that fails is started again, after pauses that double, and each failure is counted`() = runTest {
        val job = supervisor().start("a loop") {
            starts += currentTime
            if (starts.size <= 4) error("failure ${starts.size}")
            awaitCancellation()
        }
        advanceTimeBy(60_000)
        expectThat(starts.toList()).isEqualTo(listOf(0L, 100L, 300L, 700L, 1_500L))
        expectThat(job.isActive).isTrue()
        expectThat(metrics.prometheusText()).contains("parsleymoor_loop_failures_total{loop=\"a loop\"} 4\n")
        job.cancel()
    }

    @Test
    fun `each failure is logged with the name of the loop and its cause`() = runTest {
        val log = log()
        LoopSupervisor(scope(), log, Clock { currentTime }).start("a loop") {
            starts += currentTime
            if (starts.size == 1) error("the cause")
        }
        advanceTimeBy(1_000)
        log.flush(1_000)
        Thread.sleep(20)
        val lines = output.toString().lines().filter { "loop.failed" in it }
        expectThat(lines).hasSize(1)
        expectThat(lines.single()).contains("\"loop\":\"a loop\"").contains("the cause")
    }

    @Test
    fun `the pause is bounded and starts over for a loop that has run for a while`() = runTest {
        supervisor().start("a loop") {
            starts += currentTime
            if (starts.size == 20) delay(20_000)
            if (starts.size < 22) error("failure")
        }
        advanceTimeBy(200_000)
        expectThat(starts).hasSize(22)
        expectThat(starts[19] - starts[18]).isEqualTo(3_000)
        expectThat(starts[20] - starts[19]).isEqualTo(20_100)
    }

    @Test
    fun `the end of a loop and its cancellation are no failures`() = runTest {
        val scope = scope()
        val supervisor = LoopSupervisor(scope, log(), Clock { currentTime }, metrics::recordLoopFailure)
        val ended = supervisor.start("ended") { starts += currentTime }
        val cancelled = supervisor.start("cancelled") { awaitCancellation() }
        advanceTimeBy(1_000)
        cancelled.cancel()
        advanceTimeBy(10_000)
        expectThat(starts).hasSize(1)
        expectThat(ended.isActive).isFalse()
        expectThat(metrics.prometheusText().lines().filter { "loop_failures" in it }).isEmpty()
    }

    // Such an exception leaves a timeout or a cancelled result of another coroutine; the loop itself goes on.
    @Test
    fun `a cancellation of something else is a failure`() = runTest {
        val job = supervisor().start("a loop") {
            starts += currentTime
            if (starts.size == 1) throw CancellationException("another coroutine")
            awaitCancellation()
        }
        advanceTimeBy(1_000)
        expectThat(starts).hasSize(2)
        job.cancel()
    }

    @Test
    fun `an overflow of the stack is a failure, and running out of memory ends the loop`() = runTest {
        val supervisor = supervisor()
        supervisor.start("overflow") {
            starts += currentTime
            if (starts.size == 1) throw StackOverflowError()
        }
        advanceTimeBy(1_000)
        expectThat(starts).hasSize(2)
        val job = supervisor.start("memory") { throw OutOfMemoryError("test") }
        advanceTimeBy(10_000)
        expectThat(job.isActive).isFalse()
        expectThat(uncaught.map { it::class }).isEqualTo(listOf(OutOfMemoryError::class))
        expectThat(metrics.prometheusText().lines().filter { "memory" in it }).isEmpty()
    }

    private fun TestScope.supervisor() =
        LoopSupervisor(scope(), log(), Clock { currentTime }, metrics::recordLoopFailure)

    private fun TestScope.scope() = CoroutineScope(
        SupervisorJob() + StandardTestDispatcher(testScheduler) +
            CoroutineExceptionHandler { _, cause -> uncaught += cause },
    )

    private fun TestScope.log() = StructuredLog(Clock { currentTime }, "test", PrintStream(output, true))
}
