package org.parsleymoor.entry

import org.junit.jupiter.api.Test
import org.parsleymoor.core.Clock
import org.parsleymoor.core.ManualClock
import org.parsleymoor.entry.serving.EventLoopLag
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import strikt.assertions.startsWith

/**
 * Guards against an instance short of CPU time, such as one that has just started on a slow machine, that accepts
 * requests and forwards them seconds later, when their callers have already given up.
 */
class EventLoopLagTest {
    private val clock = ManualClock()
    private val lag = EventLoopLag(clock)

    @Test
    fun `an overdue wake-up counts as lag before it happens`() {
        lag.expect(clock.nowMillis() + 100)
        clock.advance(900)
        expectThat(lag.millis).isEqualTo(800)
    }

    @Test
    fun `the lag is the lateness of the last wake-up until the next one`() {
        wake(lateMillis = 600)
        lag.expect(clock.nowMillis() + 100)
        expectThat(lag.millis).isEqualTo(600)
        wake(lateMillis = 0)
        expectThat(lag.millis).isEqualTo(0)
    }

    @Test
    fun `a lag exceeds a wait if it is at least 250 ms and four event loop turns take longer than the wait`() {
        wake(lateMillis = 500)
        expectThat(lag.wouldExceed(waitMillis = 1_500)).isTrue()
        expectThat(lag.wouldExceed(waitMillis = 3_000)).isFalse()
        wake(lateMillis = 200)
        expectThat(lag.wouldExceed(waitMillis = 500)).isFalse()
    }

    @Test
    fun `an instance settles after five punctual wake-ups in a row and stays settled`() {
        repeat(4) { wake(lateMillis = 10) }
        wake(lateMillis = 400)
        repeat(4) { wake(lateMillis = 10) }
        expectThat(lag.settled).isFalse()
        wake(lateMillis = 10)
        expectThat(lag.settled).isTrue()
        wake(lateMillis = 900)
        expectThat(lag.settled).isTrue()
    }

    @Test
    fun `rejects a request that cannot be answered in time with 503 before it reaches an endpoint`() {
        val endpoint = ScriptedEndpoint { _, _, _ -> }
        val response = RelayHarness(endpoint).use { harness ->
            harness.lag.expect(Clock.System.nowMillis() - 700)
            harness.exchange(REQUEST)
        }
        expectThat(response).startsWith("HTTP/1.1 503 ").contains("Retry-After: ").contains("behind")
        expectThat(endpoint.requests).isEmpty()
    }

    // The caller's time runs while the request waits unread because the event loop is behind.
    @Test
    fun `subtracts the time that a request waited unread from the deadline sent to the endpoint`() {
        val endpoint = ScriptedEndpoint { socket, _, _ ->
            socket.send("HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s1\r\nContent-Length: 0\r\n\r\n")
        }
        RelayHarness(endpoint).use { harness ->
            harness.lag.expect(Clock.System.nowMillis() - 300)
            harness.lag.wokeUp()
            harness.exchange(REQUEST)
        }
        val forwardedMillis = Regex("Wait: (\\d+)").find(endpoint.requests.single())?.groupValues?.get(1)?.toLong() ?: 0
        expectThat(forwardedMillis < 1_750).isTrue()
    }

    private fun wake(lateMillis: Long) {
        lag.expect(clock.nowMillis() + 100)
        clock.advance(100 + lateMillis)
        lag.wokeUp()
    }

    private companion object {
        const val REQUEST = "POST /r/x HTTP/1.1\r\nHost: h\r\nId: 1\r\nWait: 2000\r\nAuthorization: Key secret\r\n" +
            "Connection: close\r\nContent-Length: 0\r\n\r\n"
    }
}
