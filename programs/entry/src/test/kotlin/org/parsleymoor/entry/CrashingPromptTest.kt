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

/** Prompts with a part that ends each endpoint that begins to answer them, while other prompts share other parts. */
@ExtendWith(KnownFailures::class)
class CrashingPromptTest {
    private val endpoints =
        List(8) { index -> ScriptedEndpoint { socket, _, request -> answer(socket, request, index) } }

    // Otherwise prompts with the part end one endpoint after the other.
    @Test
    fun `no further endpoint receives a prompt part that three endpoints crashed on`() {
        RelayHarness(*endpoints.toTypedArray(), kind = RequestKind.STREAM, timeoutMillis = 10_000).use { harness ->
            val responses = List(12) { harness.exchange(request("shared:10,bad:20,own$it:5")) }
            expectThat(crashed()).isLessThanOrEqualTo(3)
            expectThat(responses.takeLast(6)).all { startsWith("HTTP/1.1 503 ").contains("Retry-After: ") }
            expectThat(harness.exchange(request("shared:10,sound:20,own:5"))).endsWith("0\r\n\r\n")
        }
    }

    // A request that may run more than once ends an endpoint with each of its attempts.
    @Test
    fun `a repeatable request with such a part is not retried after three endpoints crashed on it`() {
        val harness = RelayHarness(
            *endpoints.toTypedArray(),
            kind = RequestKind.STREAM,
            resumable = true,
            attempts = 6,
            timeoutMillis = 10_000,
        )
        val response = harness.use { it.exchange(request("shared:10,bad:20,own:5")) }
        expectThat(response).startsWith("HTTP/1.1 502 ")
        expectThat(crashed()).isEqualTo(3)
    }

    private fun crashed() = endpoints.count { endpoint -> endpoint.requests.any { it.contains("bad:") } }

    private fun answer(socket: Socket, request: String, index: Int) {
        socket.send(STREAM_HEAD)
        if (request.contains("bad:")) {
            endpoints[index].close()
            socket.close()
        } else {
            socket.send(chunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\n") + "0\r\n\r\n")
        }
    }

    private fun request(parts: String) =
        "POST /r/x HTTP/1.1\r\nHost: h\r\nId: 1\r\nWait: 10000\r\nAuthorization: Key secret\r\nModel: m\r\n" +
            "Usage: 35,5\r\nParts: $parts\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

    private fun chunk(text: String) = "${text.length.toString(16)}\r\n$text\r\n"

    private companion object {
        const val STREAM_HEAD = "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s1\r\nContent-Type: text/event-stream\r\n" +
            "Transfer-Encoding: chunked\r\n\r\n"
    }
}
