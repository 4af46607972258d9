package org.parsleymoor.entry

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.extension.ExtendWith
import org.parsleymoor.relay.routing.RequestKind
import org.parsleymoor.testing.KnownFailures
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.endsWith
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.startsWith
import java.net.Socket
import kotlin.concurrent.thread

/** Requests that end each endpoint that runs them, while other requests on the same path are sound. */
@ExtendWith(KnownFailures::class)
class CrashingRequestTest {
    private val endpoints = List(
        8
    ) { index -> ScriptedEndpoint { socket, _, request -> answer(socket, request, index) } }

    // Otherwise the request ends one endpoint after the other, and takes the service from all its callers.
    @Test
    fun `no further endpoint receives a request that three endpoints crashed on`() =
        quarantinesAfterThree(RequestKind.NON_IDEMPOTENT)

    // Each attempt of a caller may end two endpoints.
    @Test
    fun `no further endpoint receives a repeatable request that three endpoints crashed on`() =
        quarantinesAfterThree(RequestKind.IDEMPOTENT)

    @Test
    fun `a request without body that crashes endpoints is told apart by its path`() {
        RelayHarness(*endpoints.toTypedArray(), timeoutMillis = 10_000).use { harness ->
            repeat(12) { harness.exchange(request("", path = "/r/$FATAL")) }
            expectThat(crashed()).isEqualTo(3)
            expectThat(harness.exchange(request(""))).endsWith("answer")
        }
    }

    // Each of them is unanswered when the other one ends an endpoint.
    @Test
    fun `two such requests that arrive together end six endpoints at most`() {
        RelayHarness(*endpoints.toTypedArray(), timeoutMillis = 10_000).use { harness ->
            repeat(10) {
                listOf("a", "b").map { thread { harness.exchange(request("$FATAL $it")) } }.forEach { it.join() }
            }
            expectThat(crashed()).isLessThanOrEqualTo(6)
            expectThat(harness.exchange(request("sound"))).endsWith("answer")
        }
    }

    // A prompt whose last part crashes engines shares nothing that is suspected with other prompts.
    @Test
    fun `a prompt that comes again is quarantined although each of its shared parts is answered in others`() {
        val harness = RelayHarness(*endpoints.toTypedArray(), kind = RequestKind.STREAM, timeoutMillis = 10_000)
        harness.use {
            repeat(12) {
                harness.exchange(request("", parts = "shared:10,$FATAL:20"))
                expectThat(harness.exchange(request("", parts = "shared:10,own$it:20"))).endsWith("0\r\n\r\n")
            }
        }
        expectThat(crashed()).isEqualTo(3)
    }

    private fun quarantinesAfterThree(kind: RequestKind) {
        RelayHarness(*endpoints.toTypedArray(), kind = kind, timeoutMillis = 10_000).use { harness ->
            val responses = List(12) { harness.exchange(request(FATAL)) }
            expectThat(crashed()).isEqualTo(3)
            expectThat(responses.takeLast(6)).all { startsWith("HTTP/1.1 503 ").contains("Retry-After: ") }
            expectThat(harness.exchange(request("sound"))).endsWith("answer")
            expectThat(harness.exchange(request(""))).endsWith("answer")
        }
    }

    private fun crashed() = endpoints.count { endpoint -> endpoint.requests.any { it.contains(FATAL) } }

    private fun answer(socket: Socket, request: String, index: Int) {
        when {
            request.contains(FATAL) -> {
                Thread.sleep(RUN_MILLIS)
                endpoints[index].close()
                socket.close()
            }
            request.contains("Parts: ") -> socket.send(STREAM)
            else -> socket.send("HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s1\r\nContent-Length: 6\r\n\r\nanswer")
        }
    }

    private fun request(body: String, path: String = "/r/x", parts: String? = null) =
        "POST $path HTTP/1.1\r\nHost: h\r\nId: 1\r\nWait: 10000\r\nAuthorization: Key secret\r\n" +
            parts?.let { "Model: m\r\nUsage: 30,5\r\nParts: $it\r\n" }.orEmpty() +
            "Connection: close\r\nContent-Length: ${body.length}\r\n\r\n$body"

    private companion object {
        const val FATAL = "fatal"
        const val RUN_MILLIS = 30L
        const val STREAM = "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s1\r\nContent-Type: text/event-stream\r\n" +
            "Transfer-Encoding: chunked\r\n\r\n1e\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n\r\n0\r\n\r\n"
    }
}
