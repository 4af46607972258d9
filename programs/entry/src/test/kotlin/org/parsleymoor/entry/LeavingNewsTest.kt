package org.parsleymoor.entry

import kotlinx.coroutines.yield
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.extension.ExtendWith
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.parsleymoor.core.InstanceId
import org.parsleymoor.entry.control.applyPeerUpdate
import org.parsleymoor.entry.control.toMessage
import org.parsleymoor.entry.control.toUpdates
import org.parsleymoor.entry.serving.DeploymentView
import org.parsleymoor.relay.cache.EngineIncarnation
import org.parsleymoor.relay.exchange.ForwardScope
import org.parsleymoor.relay.exchange.PeerUpdate
import org.parsleymoor.testing.KnownFailures
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.endsWith
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import strikt.assertions.single
import strikt.assertions.startsWith

/** What instances learn of leaving endpoints beside their own requests, and tell each other. */
@ExtendWith(KnownFailures::class)
class LeavingNewsTest {
    private val leaves = PeerUpdate.Leaving(LISTED_ENDPOINT)

    // Otherwise each instance sends the endpoint requests until it has read the announcement itself.
    @ParameterizedTest
    @ValueSource(booleans = [true, false])
    fun `no request reaches an endpoint that a peer says is leaving`(storeDown: Boolean) {
        val leaving = endpoint()
        val staying = endpoint()
        RelayHarness(leaving, staying).use { harness ->
            harness.onEventLoop { if (storeDown) it.endpoints.outages.recordFailedCall() }
            expectThat(harness.exchange(request())).endsWith("ok")
            expectThat(leaving.requests.size).isEqualTo(1)
            harness.onEventLoop { it.receive(leaves) }
            repeat(8) { expectThat(harness.exchange(request())).endsWith("ok") }
            expectThat(harness.metrics.prometheusText())
                .contains("parsleymoor_endpoints_leaving_total{source=\"peer\"} 1\n")
        }
        expectThat(leaving.requests.size).isEqualTo(1)
    }

    // The request was placed, and has its connection, before the announcement arrives.
    @Test
    fun `a request that waits with its connection is not sent to an endpoint that leaves meanwhile`() {
        val leaving = endpoint()
        RelayHarness(leaving).use { harness ->
            expectThat(harness.exchange(request())).endsWith("ok")
            harness.caller().use { caller ->
                caller.send(request())
                harness.onEventLoop { deployment ->
                    while (deployment.endpoints[LISTED_ENDPOINT.endpoint]!!.inFlight == 0) yield()
                    deployment.receive(leaves)
                }
                expectThat(String(caller.getInputStream().readAllBytes())).startsWith("HTTP/1.1 503 ")
            }
        }
        expectThat(leaving.requests.size).isEqualTo(1)
    }

    @Test
    fun `an announcement is told to peers, logged and counted once`() {
        val leaving = ScriptedEndpoint { socket, _, _ ->
            socket.send("HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s1\r\nLeaving: 1\r\nContent-Length: 2\r\n\r\nok")
        }
        val announced = ArrayList<PeerUpdate>()
        RelayHarness(leaving).use { harness ->
            harness.onEventLoop { deployment -> deployment.announce = { announced += it } }
            repeat(3) { harness.exchange(request()) }
            harness.onEventLoop { it.receive(leaves) }
            expectThat(harness.logged("endpoint.leaving")).single()
                .contains("\"source\":\"response\"").contains("\"request\":\"1\"").contains("\"value\":\"1\"")
            expectThat(harness.metrics.prometheusText())
                .contains("parsleymoor_endpoints_leaving_total{source=\"response\"} 1\n")
        }
        expectThat(announced).containsExactly(leaves)
    }

    // Reports, orders and cache calls are answered when no request of a caller is.
    @ParameterizedTest
    @ValueSource(
        strings = [
            "HTTP/1.1 200 OK\r\nLeaving: 1\r\nContent-Length: 2\r\n\r\n{}",
            "HTTP/1.1 202 Accepted\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 409 Conflict\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 503 Busy\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 200 OK\r\nLeaving: 1\r\nContent-Length: 20\r\n\r\n{",
        ],
    )
    fun `the response to a control request says that its endpoint leaves`(response: String) {
        val deployment = controlExchange(response)
        expectThat(deployment.endpoints.isLeaving(leaves.endpoint)).isTrue()
    }

    // An address may have passed to another endpoint.
    @Test
    fun `a response that names another endpoint says nothing of the one that is listed at its address`() {
        val other = "HTTP/1.1 200 OK\r\nEndpoint: e9\r\nLeaving: 1\r\nContent-Length: 2\r\n\r\n{}"
        expectThat(controlExchange(other).endpoints.isLeaving(leaves.endpoint)).isFalse()
    }

    @Test
    fun `a response with the value 0 does not say that its endpoint leaves`() {
        val staying = "HTTP/1.1 200 OK\r\nLeaving: 0\r\nContent-Length: 2\r\n\r\n{}"
        expectThat(controlExchange(staying).endpoints.isLeaving(leaves.endpoint)).isFalse()
    }

    // Otherwise an announcement that is still repeated would take the new start out.
    @Test
    fun `an announcement of an earlier start that a peer repeats changes nothing`() {
        val deployment = DeploymentView(InstanceId("self"))
        deployment.endpoints.put(listedEndpoint(80).copy(startMillis = 5), 0)
        val learned = ArrayList<EngineIncarnation>()
        deployment.onLeaving = { endpoint, _ -> learned += endpoint }
        repeat(3) { deployment.receive(PeerUpdate.Leaving(LISTED_ENDPOINT.copy(startMillis = 4))) }
        expectThat(learned).isEmpty()
        expectThat(deployment.endpoints.serving("s").size).isEqualTo(1)
    }

    private fun endpoint() = ScriptedEndpoint { socket, _, _ ->
        socket.send("HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s1\r\nContent-Length: 2\r\n\r\nok")
    }

    private fun DeploymentView.receive(update: PeerUpdate) {
        listOf(update).toMessage(ForwardScope.NOBODY, 0).toUpdates(0).forEach { applyPeerUpdate(it, 0) }
    }

    private fun request() =
        "POST /r/x HTTP/1.1\r\nHost: h\r\nId: 1\r\nWait: 2000\r\nAuthorization: Key secret\r\nConnection: close\r\n" +
            "Content-Length: 0\r\n\r\n"
}
