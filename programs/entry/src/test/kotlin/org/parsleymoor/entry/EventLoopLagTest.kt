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
 * Guards against an instance that is short of processor time, such as one that has just started on a slow machine, and
 * takes requests that it sends on seconds later, when their callers have left.
 */
class EventLoopLagTest {
    private val clock = ManualClock()
    private val lag = EventLoopLag(clock)

    @Test
    fun `a wake-up that is overdue counts before it comes`() {
        lag.expect(clock.nowMillis() + 100)
        clock.advance(900)
        expectThat(lag.millis).isEqualTo(800)
    }

    @Test
    fun `the lateness of the last wake-up counts until the next`() {
        wake(lateMillis = 600)
        lag.expect(clock.nowMillis() + 100)
        expectThat(lag.millis).isEqualTo(600)
        wake(lateMillis = 0)
        expectThat(lag.millis).isEqualTo(0)
    }

    @Test
    fun `only a lag that takes up the time of the caller is too much`() {
        wake(lateMillis = 500)
        expectThat(lag.wouldExceed(waitMillis = 1_500)).isTrue()
        expectThat(lag.wouldExceed(waitMillis = 3_000)).isFalse()
        wake(lateMillis = 200)
        expectThat(lag.wouldExceed(waitMillis = 500)).isFalse()
    }

    @Test
    fun `an instance has settled once five wake-ups in a row were in time, and stays so`() {
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
    fun `a request that cannot be answered in time is refused at once as not run and reaches no endpoint`() {
        val endpoint = ScriptedEndpoint { _, _, _ -> }
        val answer = RelayHarness(endpoint).use { harness ->
            harness.lag.expect(Clock.System.nowMillis() - 700)
            harness.exchange(REQUEST)
        }
        expectThat(answer).startsWith("HTTP/1.1 503 ").contains("Retry-After: ").contains("behind")
        expectThat(endpoint.requests).isEmpty()
    }

    // The request waited unread while the event loop was behind; its caller's time went on.
    @Test
    fun `the time that a request waited unread is taken off what the endpoint is told`() {
        val endpoint = ScriptedEndpoint { socket, _, _ ->
            socket.send("HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s1\r\nContent-Length: 0\r\n\r\n")
        }
        RelayHarness(endpoint).use { harness ->
            harness.lag.expect(Clock.System.nowMillis() - 300)
            harness.lag.wokeUp()
            harness.exchange(REQUEST)
        }
        val told = Regex("Wait: (\\d+)").find(endpoint.requests.single())?.groupValues?.get(1)?.toLong() ?: 0
        expectThat(told < 1_750).isTrue()
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
