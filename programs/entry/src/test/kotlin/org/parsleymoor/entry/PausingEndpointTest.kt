package org.parsleymoor.entry

import kotlinx.coroutines.yield
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.parsleymoor.core.Clock
import org.parsleymoor.relay.fleet.isPaused
import org.parsleymoor.relay.routing.RequestKind
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.endsWith
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isIn
import strikt.assertions.isTrue
import strikt.assertions.startsWith

/** Endpoints that ask for a pause as they refuse. Guards against requests that reach them before it is over. */
class PausingEndpointTest {
    // Requests of an instance would keep an endpoint busy with refusing them.
    @ParameterizedTest
    @ValueSource(strings = ["Not-Run: 1\r\n", ""])
    fun `no request reaches an endpoint in the pause that it asked for, and one does after it`(confirmation: String) {
        for (kind in RequestKind.entries) {
            val endpoint = ScriptedEndpoint { socket, number, _ ->
                socket.send(if (number == 1) pause("1.2", confirmation) else OK)
            }
            RelayHarness(endpoint, kind = kind).use { harness ->
                val startMillis = System.nanoTime() / NANOS
                harness.exchange(request())
                repeat(5) { expectThat(retryAfter(harness.exchange(request()))).isIn(0.5..2.25) }
                expectThat(endpoint.requests).hasSize(1)
                Thread.sleep(startMillis + 1_600 - System.nanoTime() / NANOS)
                repeat(3) { expectThat(harness.exchange(request())).endsWith("ok") }
                expectThat(harness.logged("endpoint.paused")).hasSize(1)
                expectThat(harness.logged("endpoint.pauseEnded")).hasSize(1)
                expectThat(harness.metrics.prometheusText()).contains("parsleymoor_endpoint_pauses_total 1\n")
            }
            expectThat(endpoint.requests).hasSize(4)
        }
    }

    @Test
    fun `other endpoints serve the requests during a pause`() {
        val pausing = ScriptedEndpoint { socket, number, _ -> socket.send(if (number == 1) pause("0.6") else OK) }
        val serving = ScriptedEndpoint { socket, _, _ -> socket.send(OK) }
        RelayHarness(pausing, serving).use { harness ->
            repeat(8) { expectThat(harness.exchange(request())).endsWith("ok") }
            expectThat(pausing.requests).hasSize(1)
            Thread.sleep(900)
            repeat(4) { harness.exchange(request()) }
            expectThat(pausing.requests.size).isGreaterThanOrEqualTo(2)
        }
    }

    // A caller who is told more than the shortest time comes back later than it could be served.
    @Test
    fun `a caller refused because all endpoints are paused is told the shortest remaining time`() {
        val long = ScriptedEndpoint { socket, _, _ -> socket.send(pause("9")) }
        val short = ScriptedEndpoint { socket, _, _ -> socket.send(pause("1")) }
        RelayHarness(long, short, timeoutMillis = 10_000).use { harness ->
            repeat(3) { expectThat(retryAfter(harness.exchange(request()))).isIn(0.8..1.875) }
        }
        expectThat(long.requests.size + short.requests.size).isEqualTo(2)
    }

    // A pause is certain before the retry budget is asked.
    @Test
    fun `a caller is told the remaining time also when the retry budget is used up`() {
        lateinit var harness: RelayHarness
        val endpoint = ScriptedEndpoint { socket, _, _ ->
            harness.useUpRetryBudget()
            socket.send(pause("1"))
        }
        harness = RelayHarness(endpoint)
        expectThat(harness.use { retryAfter(it.exchange(request())) }).isIn(0.9..1.875)
    }

    // The request was placed, and has its connection, before the pause begins.
    @Test
    fun `a request that waits with its connection is not sent to an endpoint whose pause begins meanwhile`() {
        val endpoint = ScriptedEndpoint { socket, _, _ -> socket.send(OK) }
        RelayHarness(endpoint).use { harness ->
            expectThat(harness.exchange(request())).endsWith("ok")
            harness.caller().use { caller ->
                harness.onEventLoop { deployment ->
                    // Sent from the event loop, which cannot answer it before the request in flight is seen.
                    caller.send(request())
                    while (deployment.endpoints[LISTED_ENDPOINT.endpoint]!!.inFlight == 0) yield()
                    deployment.endpoints.pauses.begin(LISTED_ENDPOINT, 1_000, Clock.System.nowMillis())
                }
                expectThat(retryAfter(String(caller.getInputStream().readAllBytes()))).isIn(0.9..1.875)
            }
        }
        expectThat(endpoint.requests).hasSize(1)
    }

    // A refusal would cost the caller more than the wait.
    @Test
    fun `a request waits for the end of a short pause`() {
        val endpoint = ScriptedEndpoint { socket, number, _ -> socket.send(if (number == 1) pause("0.05") else OK) }
        RelayHarness(endpoint).use { harness ->
            harness.exchange(request())
            expectThat(harness.exchange(request())).endsWith("ok")
        }
    }

    // One faulty response would take the endpoint out for as long as it likes.
    @ParameterizedTest
    @ValueSource(strings = ["-1", "soon", "NaN", "Infinity", "1e9", "0x10", "", "Wed, 21 Oct 2026 07:28:00 GMT"])
    fun `a pause that is no number of seconds is logged and not kept`(value: String) {
        val endpoint = ScriptedEndpoint { socket, number, _ -> socket.send(if (number == 1) pause(value) else OK) }
        RelayHarness(endpoint).use { harness ->
            expectThat(harness.exchange(request())).startsWith("HTTP/1.1 503 ")
            expectThat(harness.exchange(request())).endsWith("ok")
            expectThat(harness.logged("endpoint.pauseInvalid")).hasSize(1)
        }
    }

    @ParameterizedTest
    @ValueSource(strings = ["3600", "99999999999999999999999999"])
    fun `a pause that is longer than any caller waits ends after that time`(value: String) {
        val endpoint = ScriptedEndpoint { socket, number, _ -> socket.send(if (number == 1) pause(value) else OK) }
        RelayHarness(endpoint, timeoutMillis = 600).use { harness ->
            repeat(3) { expectThat(harness.exchange(request())).startsWith("HTTP/1.1 503 ") }
            expectThat(endpoint.requests).hasSize(1)
            Thread.sleep(900)
            expectThat(harness.exchange(request())).endsWith("ok")
            expectThat(harness.logged("endpoint.pauseInvalid")).hasSize(1)
        }
    }

    // The end of a pause would bring an endpoint back that leaves.
    @Test
    fun `an endpoint that asks for a pause and then leaves gets no request after either`() {
        val endpoint = ScriptedEndpoint { socket, number, _ ->
            socket.send(if (number == 1) pause("0.3") else pause("0.3", "Not-Run: 1\r\nLeaving: 1\r\n"))
        }
        RelayHarness(endpoint).use { harness ->
            repeat(6) {
                expectThat(harness.exchange(request())).startsWith("HTTP/1.1 503 ")
                Thread.sleep(400)
            }
        }
        expectThat(endpoint.requests).hasSize(2)
    }

    // Reports and orders are answered with the same refusals.
    @Test
    fun `the refusal of a control request begins a pause`() {
        val deployment = controlExchange("HTTP/1.1 503 Busy\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n")
        expectThat(deployment.endpoints.isPaused(LISTED_ENDPOINT, Clock.System.nowMillis())).isTrue()
    }

    private fun pause(value: String, fields: String = "Not-Run: 1\r\n") =
        "HTTP/1.1 503 Busy\r\nId: 1\r\nRetry-After: $value\r\n${fields}Content-Length: 0\r\n\r\n"

    private fun retryAfter(response: String): Double {
        expectThat(response).startsWith("HTTP/1.1 503 ")
        return Regex("Retry-After: ([0-9.]+)").find(response)!!.groupValues[1].toDouble()
    }

    private fun request() =
        "POST /r/x HTTP/1.1\r\nHost: h\r\nId: 1\r\nWait: 2000\r\nAuthorization: Key secret\r\nConnection: close\r\n" +
            "Content-Length: 0\r\n\r\n"

    private companion object {
        const val NANOS = 1_000_000L
        const val OK = "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s1\r\nContent-Length: 2\r\n\r\nok"
    }
}
