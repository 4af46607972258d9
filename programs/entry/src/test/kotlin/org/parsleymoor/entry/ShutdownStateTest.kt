package org.parsleymoor.entry

import org.junit.jupiter.api.Test
import org.parsleymoor.core.ManualClock
import org.parsleymoor.entry.serving.ShutdownState
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNull
import strikt.assertions.isTrue

/** Guards against requests that are sent to an endpoint although the process exits before their answer. */
class ShutdownStateTest {
    private val clock = ManualClock(startMillis = 1_000_000)
    private val state = ShutdownState(graceMillis = 8_000, clock)

    @Test
    fun `covers every request before the shutdown`() {
        expectThat(covers(waitMillis = 60_000, expectedMillis = 60_000)).isTrue()
        expectThat(state.lastAnswerMillis).isNull()
    }

    @Test
    fun `covers a request at any time whose deadline is before the last answer`() {
        state.begin()
        clock.advance(5_700)
        expectThat(covers(waitMillis = 1_500)).isTrue()
        clock.advance(100)
        expectThat(covers(waitMillis = 1_500)).isFalse()
    }

    @Test
    fun `covers a long request only early and if it usually ends before the last answer`() {
        state.begin()
        clock.advance(2_500)
        expectThat(covers(waitMillis = 15_000, expectedMillis = 4_750)).isTrue()
        expectThat(covers(waitMillis = 15_000, expectedMillis = 4_751)).isFalse()
        clock.advance(1)
        expectThat(covers(waitMillis = 15_000, expectedMillis = 100)).isFalse()
    }

    // A repeat of a request that arrived before the signal would be cut off like a new one.
    @Test
    fun `covers a repeat of an earlier request only if it usually ends before the last answer`() {
        val receivedMillis = clock.nowMillis()
        clock.advance(100)
        state.begin()
        clock.advance(4_000)
        expectThat(state.covers(receivedMillis, receivedMillis + 15_000, expectedMillis = 3_000)).isTrue()
        clock.advance(1_000)
        expectThat(state.covers(receivedMillis, receivedMillis + 15_000, expectedMillis = 3_000)).isFalse()
    }

    @Test
    fun `covers nothing once the last answer is due`() {
        state.begin()
        clock.advance(7_250)
        expectThat(covers(waitMillis = 0, expectedMillis = 0)).isFalse()
    }

    // A later signal must not move the end, which the platform measures from the first one.
    @Test
    fun `begins only once`() {
        state.begin()
        val exitMillis = state.exitMillis
        clock.advance(1_000)
        state.begin()
        expectThat(state.exitMillis).isEqualTo(exitMillis)
    }

    @Test
    fun `the last answers fall into the last sixth of any grace period and before the exit`() {
        for (graceMillis in listOf(1_000L, 3_000L, 8_000L, 30_000L, 120_000L)) {
            val startMillis = clock.nowMillis()
            val state = ShutdownState(graceMillis, clock).also { it.begin() }
            val lastMillis = checkNotNull(state.lastAnswerMillis) - startMillis
            expectThat(lastMillis).isGreaterThanOrEqualTo(graceMillis * 5 / 6)
            expectThat(lastMillis).isLessThan(checkNotNull(state.exitMillis) - startMillis)
            expectThat(checkNotNull(state.exitMillis) - startMillis).isLessThan(graceMillis)
        }
    }

    private fun covers(waitMillis: Long, expectedMillis: Long = 50): Boolean =
        state.covers(clock.nowMillis(), clock.nowMillis() + waitMillis, expectedMillis)
}
