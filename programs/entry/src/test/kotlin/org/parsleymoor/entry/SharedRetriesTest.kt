package org.parsleymoor.entry

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.parsleymoor.core.Clock
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.ZoneId
import org.parsleymoor.entry.control.Membership
import org.parsleymoor.entry.control.MembershipLoop
import org.parsleymoor.entry.log.StructuredLog
import org.parsleymoor.entry.serving.DeploymentView
import org.parsleymoor.relay.exchange.Member
import org.parsleymoor.relay.limits.InstanceShare
import org.parsleymoor.relay.limits.RegistrationTimes
import org.parsleymoor.relay.limits.RetryLimit
import org.parsleymoor.relay.limits.SharedRetryBudget
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import java.io.OutputStream
import java.io.PrintStream

/** The share of a test that does not look at shared limits. */
internal fun retryShare(): InstanceShare = InstanceShare(RegistrationTimes(), windowMillis = 10_000)

/** Guards against instances that together retry more than the whole deployment may. */
@OptIn(ExperimentalCoroutinesApi::class)
class SharedRetriesTest {
    private val memory = MemoryStore()
    private val requestMillis = ArrayList<Long>()
    private val retryMillis = ArrayList<Long>()
    private val instances = LinkedHashMap<String, Instance>()

    // An instance that started first knew only itself and took the whole budget, and so on for each that followed.
    @ParameterizedTest
    @ValueSource(ints = [9, 50, 95])
    fun `instances that start one after the other retry within the limit`(count: Int) = runTest {
        repeat(count) {
            start("i$it")
            pass(400)
        }
        pass(40_000)
        expectWithinLimit()
    }

    // A restart began the window anew, so that the budget was handed out twice in it.
    @ParameterizedTest
    @ValueSource(ints = [9, 50, 95])
    fun `instances that are restarted in turn retry within the limit`(count: Int) = runTest {
        repeat(count) { start("i$it") }
        pass(40_000)
        repeat(count) {
            stop("i$it")
            pass(300)
            start("i$it")
        }
        pass(34_000)
        expectWithinLimit()
    }

    @ParameterizedTest
    @ValueSource(ints = [9, 95])
    fun `instances that are killed together and start again retry within the limit`(count: Int) = runTest {
        repeat(count) { start("i$it") }
        pass(34_000)
        repeat(count) { stop("i$it") }
        repeat(count) { start("i$it") }
        pass(34_000)
        expectWithinLimit()
    }

    // Those that the store no longer hears of went on with their shares, which the others divided among themselves.
    @ParameterizedTest
    @ValueSource(ints = [9, 50, 95])
    fun `instances of which half are cut off from the store retry within the limit`(count: Int) = runTest {
        repeat(count) { start("i$it") }
        pass(34_000)
        instances.values.take(count / 2).forEach { it.cutOff = true }
        pass(60_000)
        instances.values.forEach { it.cutOff = false }
        pass(34_000)
        expectWithinLimit()
    }

    // A deployment that is replaced by one of another size must not add up both sizes' shares.
    @ParameterizedTest
    @ValueSource(ints = [9, 50])
    fun `instances that end for good leave their share to the others only later`(count: Int) = runTest {
        repeat(count) { start("i$it") }
        pass(34_000)
        repeat(count - 1) { stop("i$it") }
        pass(60_000)
        expectWithinLimit()
    }

    private fun expectWithinLimit() {
        val excess = retryMillis.distinct().maxOf { from ->
            // The platform counts the requests of the window, of the one before or of the one half a window before.
            val earlier = listOf(0L, LIMIT.windowMillis / 2, LIMIT.windowMillis)
            val requests = earlier.maxOf { requestMillis.inWindow(from - it) }
            retryMillis.inWindow(from) - LIMIT.extra - LIMIT.share * requests
        }
        expectThat(excess).isLessThanOrEqualTo(0.0)
        // The budget is in use at the end, so that the limit is not kept by retrying nothing.
        expectThat(retryMillis.inWindow(requestMillis.max() - LIMIT.windowMillis + 1)).isGreaterThan(0)
    }

    private fun List<Long>.inWindow(from: Long): Int = count { it in from until from + LIMIT.windowMillis }

    private fun TestScope.start(name: String) {
        instances[name] = Instance(name, this)
    }

    private fun stop(name: String) {
        instances.remove(name)?.job?.cancel()
    }

    /** Lets [millis] pass, in which each instance gets requests and retries as much as it may. */
    private fun TestScope.pass(millis: Long) {
        repeat((millis / STEP_MILLIS).toInt()) {
            advanceTimeBy(STEP_MILLIS)
            instances.values.forEach { it.serve(currentTime) }
        }
    }

    private inner class Instance(name: String, scope: TestScope) {
        var cutOff = false
        private val share = retryShare()
        private val budget = SharedRetryBudget(LIMIT, share::at)
        private val clock = Clock { scope.currentTime }
        private val loop = MembershipLoop(
            memory.client(cutOff = { cutOff }),
            DeploymentView(InstanceId(name)),
            Membership(Member(InstanceId(name), "$name:1", ZoneId("a"))),
            StructuredLog(clock, name, PrintStream(OutputStream.nullOutputStream())),
            clock,
            share,
        )
        val job: Job = scope.backgroundScope.launch { loop.run() }

        fun serve(nowMillis: Long) {
            if (nowMillis % REQUEST_PERIOD_MILLIS == 0L) {
                budget.recordRequest("s", nowMillis)
                requestMillis += nowMillis
            }
            while (budget.tryTakeRetry("s", nowMillis)) retryMillis += nowMillis
        }
    }

    private companion object {
        val LIMIT = RetryLimit(share = 0.2, extra = 58.0, windowMillis = 10_000)
        const val STEP_MILLIS = 100L
        const val REQUEST_PERIOD_MILLIS = 1_000L
    }
}
