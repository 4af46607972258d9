package org.parsleymoor.entry

import org.junit.jupiter.api.Test
import org.parsleymoor.relay.routing.RequestKind
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.endsWith
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import strikt.assertions.startsWith
import java.net.Socket
import java.util.concurrent.TimeUnit

class RelayTest {
    @Test
    fun `relays status, body and seal unchanged and forwards the caller's request`() {
        val endpoint = ScriptedEndpoint { socket, _, _ -> socket.send(sealed("hello")) }
        val response = RelayHarness(endpoint).use { it.exchange(request(fields = "X-Own: 1\r\n", body = "payload")) }
        expectThat(response).startsWith("HTTP/1.1 201 Made\r\n").contains("Seal: s1").endsWith("\r\n\r\nhello")
        expectThat(endpoint.requests.single()).startsWith("POST /r/x?y=1 HTTP/1.1\r\n").contains("X-Own: 1")
            .endsWith("payload")
    }

    // A caller that could set these fields would read another organisation's cache or choose its own priority.
    @Test
    fun `drops fields reserved for the system and replaces the API key by the organisation`() {
        val endpoint = ScriptedEndpoint { socket, _, _ -> socket.send(sealed("x")) }
        val forged = "Org: other\r\nSpace: stolen\r\nurgency: 0\r\nReserved: 1\r\n" +
            "Connection: close, Model\r\nModel: m\r\n"
        RelayHarness(endpoint).use { it.exchange(request(fields = forged)) }
        expectThat(endpoint.requests.single()).contains("Org: org").contains("Expect-Endpoint: e0").contains("Model: m")
            .doesNotContain("other").doesNotContain("stolen").doesNotContain("Reserved").doesNotContain("secret")
    }

    @Test
    fun `skips a response to another request that arrives first`() {
        val endpoint = ScriptedEndpoint { socket, _, _ ->
            socket.send(sealed("late", id = "other"))
            socket.send(sealed("own"))
        }
        val response = RelayHarness(endpoint).use { it.exchange(request()) }
        expectThat(response).endsWith("own").doesNotContain("late")
    }

    @Test
    fun `does not relay a successful response without a seal`() {
        val endpoint =
            ScriptedEndpoint { socket, _, _ -> socket.send("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 1\r\n\r\nx") }
        expectThat(RelayHarness(endpoint).use { it.exchange(request()) }).startsWith("HTTP/1.1 502 ")
    }

    @Test
    fun `a response without length is complete after an orderly close`() {
        val endpoint = ScriptedEndpoint { socket, _, _ ->
            socket.send("HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s1\r\n\r\nwhole")
            socket.close()
        }
        expectThat(RelayHarness(endpoint).use { it.exchange(request()) }).startsWith("HTTP/1.1 200 ").endsWith("whole")
    }

    @Test
    fun `does not relay a reset response without length as a success, and runs a non-idempotent request once`() {
        val endpoint = ScriptedEndpoint { socket, _, _ ->
            socket.send("HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s1\r\n\r\npart")
            Thread.sleep(50)
            socket.reset()
        }
        val other = ScriptedEndpoint { socket, _, _ -> socket.send(sealed("again")) }
        val response = RelayHarness(endpoint, other).use { it.exchange(request()) }
        expectThat(response.startsWith("HTTP/1.1 502 ") || response.endsWith("again")).isTrue()
        expectThat(endpoint.requests.size + other.requests.size).isEqualTo(1)
    }

    @Test
    fun `retries an idempotent request at another endpoint after a reset`() {
        val endpoints = List(2) {
            ScriptedEndpoint { socket, _, request ->
                if (request.contains("Expect-Endpoint: e0")) socket.reset() else socket.send(sealed("ok"))
            }
        }
        val harness = RelayHarness(*endpoints.toTypedArray(), kind = RequestKind.IDEMPOTENT)
        repeat(4) { expectThat(harness.exchange(request())).endsWith("ok") }
        harness.close()
    }

    @Test
    fun `retries a non-idempotent request at another endpoint after a confirmed refusal`() {
        val refusing = ScriptedEndpoint { socket, _, _ ->
            socket.send("HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
        }
        val serving = ScriptedEndpoint { socket, _, _ -> socket.send(sealed("ok")) }
        val harness = RelayHarness(refusing, serving)
        repeat(3) { expectThat(harness.exchange(request())).endsWith("ok") }
        harness.close()
        expectThat(serving.requests).hasSize(3)
    }

    // Callers read a 503 as "not run", which may be false without the header field by which the endpoint confirms it.
    @Test
    fun `responds with 502 to an unconfirmed refusal`() {
        val endpoint = ScriptedEndpoint { socket, _, _ -> socket.send("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n") }
        expectThat(RelayHarness(endpoint).use { it.exchange(request()) }).startsWith("HTTP/1.1 502 ")
    }

    @Test
    fun `resumes a broken stream at another endpoint after the last complete event`() {
        val script = { socket: Socket, _: Int, request: String ->
            if (request.contains("Last-Event-Id: 2")) {
                socket.send(STREAM_HEAD + chunk("id: 2\ndata: b\n\n") + chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n")
            } else {
                socket.send(STREAM_HEAD + chunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"))
                Thread.sleep(50)
                socket.reset()
            }
        }
        val harness = RelayHarness(
            ScriptedEndpoint(script),
            ScriptedEndpoint(script),
            kind = RequestKind.STREAM,
            resumable = true,
        )
        val response = harness.use { it.exchange(request()) }
        expectThat(Regex("data: (\\w)").findAll(response).map { it.groupValues[1] }.joinToString("")).isEqualTo("abc")
        expectThat(response).endsWith("0\r\n\r\n")
    }

    @Test
    fun `a broken stream that may not be resumed does not look complete`() {
        val endpoint = ScriptedEndpoint { socket, _, _ ->
            socket.send(STREAM_HEAD + chunk("id: 1\ndata: a\n\nid: 2\nda"))
            Thread.sleep(50)
            socket.reset()
        }
        val response = RelayHarness(endpoint, kind = RequestKind.STREAM).use { it.exchange(request()) }
        expectThat(response).contains("data: a").doesNotContain("id: 2").doesNotContain("0\r\n\r\n")
    }

    @Test
    fun `closes the connection to the endpoint when the caller of a stream disconnects`() {
        val endpoint = ScriptedEndpoint { socket, _, _ -> socket.send(STREAM_HEAD + chunk("id: 1\ndata: a\n\n")) }
        val harness = RelayHarness(endpoint, kind = RequestKind.STREAM)
        harness.caller().use { socket ->
            socket.send(request())
            socket.getInputStream().read()
        }
        expectThat(endpoint.connectionEnded.await(1, TimeUnit.SECONDS)).isTrue()
        harness.close()
    }

    @Test
    fun `rejects a smuggled request before it reaches an endpoint`() {
        val endpoint = ScriptedEndpoint { socket, _, _ -> socket.send(sealed("x")) }
        val smuggled = "POST /r/x HTTP/1.1\r\nHost: h\r\nId: 1\r\nContent-Length: 4\r\n" +
            "Transfer-Encoding: chunked\r\n\r\n" +
            "0\r\n\r\nPOST /r/y HTTP/1.1\r\nHost: h\r\nId: 2\r\n\r\n"
        expectThat(RelayHarness(endpoint).use { it.exchange(smuggled) }).startsWith("HTTP/1.1 400 ")
        expectThat(endpoint.requests).isEmpty()
    }

    @Test
    fun `rejects bodies and heads over the limits, unknown keys and unknown paths`() {
        val endpoint = ScriptedEndpoint { socket, _, _ -> socket.send(sealed("x")) }
        RelayHarness(endpoint).use { harness ->
            expectThat(harness.exchange(request(body = "x".repeat(10_001)))).startsWith("HTTP/1.1 413 ")
            expectThat(harness.exchange(request(fields = "Big: ${"x".repeat(3_000)}\r\n"))).startsWith("HTTP/1.1 431 ")
            expectThat(harness.exchange(request().replace("secret", "wrong"))).startsWith("HTTP/1.1 401 ")
            expectThat(harness.exchange(request().replace("/r/", "/z/"))).startsWith("HTTP/1.1 404 ")
        }
        expectThat(endpoint.requests).isEmpty()
    }

    @Test
    fun `rejects requests with 503 and Retry-After while no configuration is known`() {
        val response = RelayHarness(configured = false).use { it.exchange(request()) }
        expectThat(response).startsWith("HTTP/1.1 503 ").contains("Retry-After: ")
    }

    @Test
    fun `answers pipelined requests in order`() {
        val endpoint = ScriptedEndpoint { socket, number, _ -> socket.send(sealed("answer$number")) }
        val kept = request().replace("Connection: close\r\n", "")
        val responses = RelayHarness(endpoint).use { it.exchange(kept + request()) }
        expectThat(
            Regex("answer\\d").findAll(responses).map { it.value }.toList()
        ).isEqualTo(listOf("answer1", "answer2"))
    }

    private fun request(fields: String = "", body: String = "") =
        "POST /r/x?y=1 HTTP/1.1\r\nHost: h\r\nId: 1\r\nWait: 2000\r\nAuthorization: Key secret\r\n" +
            (if (fields.contains("Connection")) "" else "Connection: close\r\n") + fields +
            "Content-Length: ${body.length}\r\n\r\n$body"

    private fun sealed(body: String, id: String = "1") =
        "HTTP/1.1 201 Made\r\nId: $id\r\nSeal: s1\r\nContent-Length: ${body.length}\r\n\r\n$body"

    private fun chunk(text: String) = "${text.length.toString(16)}\r\n$text\r\n"

    private companion object {
        const val STREAM_HEAD = "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s1\r\nContent-Type: text/event-stream\r\n" +
            "Transfer-Encoding: chunked\r\n\r\n"
    }
}
