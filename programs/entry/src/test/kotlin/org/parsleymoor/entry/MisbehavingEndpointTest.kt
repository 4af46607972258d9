package org.parsleymoor.entry

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.parsleymoor.relay.routing.RequestKind
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.endsWith
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import strikt.assertions.startsWith
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/**
 * Endpoints that send malformed or endless data, or responses to earlier requests. Guards against unbounded memory use,
 * callers that wait until their deadline for an endpoint that can only fail, and responses relayed to the wrong caller.
 */
class MisbehavingEndpointTest {
    @Test
    fun `fails fast on an endless head`() = failsFast { socket ->
        socket.send("HTTP/1.1 200 OK\r\n")
        socket.sendForever("X-Filler: ${"x".repeat(100)}\r\n")
    }

    @Test
    fun `fails fast on endless empty lines before a head`() = failsFast { socket ->
        socket.sendForever("\r\n".repeat(1_000))
    }

    @Test
    fun `fails fast on endless interim responses`() = failsFast { socket ->
        socket.sendForever("HTTP/1.1 102 Processing\r\n\r\n".repeat(100))
    }

    @Test
    fun `fails at the size limit on an endless body without length`() = failsFast { socket ->
        socket.send("HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s1\r\n\r\n")
        socket.sendForever("x".repeat(8_192))
    }

    @Test
    fun `fails at the size limit on an endless chunked body`() = failsFast { socket ->
        socket.send("HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s1\r\nTransfer-Encoding: chunked\r\n\r\n")
        socket.sendForever(chunk("x".repeat(8_192)))
    }

    @Test
    fun `fails fast on a body whose stated length is over the limit`() = failsFast { socket ->
        socket.send("HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s1\r\nContent-Length: 99999999999\r\n\r\n")
        socket.sendForever("x".repeat(8_192))
    }

    @Test
    fun `fails fast on endless trailers`() = failsFast { socket ->
        socket.send("HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n")
        socket.sendForever("X-Filler: ${"x".repeat(100)}\r\n".repeat(50))
    }

    @Test
    fun `fails at the size limit on an endless response to another request`() = failsFast { socket ->
        socket.send("HTTP/1.1 200 OK\r\nId: other\r\nSeal: s1\r\n\r\n")
        socket.sendForever("x".repeat(8_192))
    }

    @Test
    fun `fails fast on endless responses to other requests`() = failsFast { socket ->
        socket.sendForever(sealed("late", id = "other").repeat(50))
    }

    @Test
    fun `retries at another endpoint after a refusal with an endless body`() {
        val refusing = ScriptedEndpoint { socket, _, _ ->
            socket.send("HTTP/1.1 503 No\r\nNot-Run: 1\r\n\r\n")
            socket.sendForever("x".repeat(8_192))
        }
        val serving = ScriptedEndpoint { socket, _, _ -> socket.send(sealed("ok")) }
        RelayHarness(refusing, serving).use { harness ->
            repeat(3) { expectThat(harness.exchange(request())).endsWith("ok") }
        }
    }

    @Test
    fun `cuts off a stream with an endless event, so that it does not look complete`() {
        val endpoint = ScriptedEndpoint { socket, _, _ ->
            socket.send(STREAM_HEAD + chunk("id: 1\ndata: a\n\nid: 2\ndata: "))
            socket.sendForever(chunk("x".repeat(8_192)))
        }
        val started = System.nanoTime()
        val response = RelayHarness(endpoint, kind = RequestKind.STREAM).use { it.exchange(request()) }
        expectThat(response).contains("data: a").doesNotContain("xxxx").doesNotContain("0\r\n\r\n")
        expectThat(millisSince(started)).isLessThan(MAX_FAILURE_MILLIS)
        expectThat(endpoint.connectionEnded.await(1, TimeUnit.SECONDS)).isTrue()
    }

    // Otherwise the stream is relayed at full speed until its deadline, and is never resumed.
    @ParameterizedTest
    @ValueSource(strings = ["\n", "\r\n", ": a\n\n"])
    fun `resumes a stream at another endpoint when one sends bytes without events without end`(block: String) {
        val script = { socket: Socket, _: Int, request: String ->
            if (request.contains("Last-Event-Id: 1")) {
                socket.send(STREAM_HEAD + chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n")
            } else {
                socket.send(STREAM_HEAD + chunk("id: 1\ndata: a\n\n"))
                socket.sendForever(chunk(block.repeat(4_096)))
            }
        }
        val harness = RelayHarness(
            ScriptedEndpoint(script),
            ScriptedEndpoint(script),
            kind = RequestKind.STREAM,
            resumable = true,
            timeoutMillis = 5_000,
        )
        harness.use {
            val response = it.exchange(request(waitMillis = 5_000))
            expectThat(response).contains("data: a").contains("data: b").endsWith("0\r\n\r\n")
            expectThat(it.logged("response.oversized").single()).contains("without an event")
            expectThat(it.metrics.prometheusText())
                .contains("parsleymoor_responses_oversized_total{reason=\"without_events\"} 1")
        }
    }

    // Guards against a bound that cuts off an endpoint that only keeps its connection open.
    @Test
    fun `relays a stream whose endpoint sends a comment every few milliseconds between its events`() {
        val comments = chunk(": keep-alive\n\n".repeat(10))
        val endpoint = ScriptedEndpoint { socket, _, _ ->
            socket.send(STREAM_HEAD)
            repeat(3) { number ->
                repeat(50) {
                    socket.send(comments)
                    Thread.sleep(5)
                }
                socket.send(chunk("id: ${number + 1}\ndata: $number\n\n"))
            }
            socket.send("0\r\n\r\n")
        }
        val harness = RelayHarness(endpoint, kind = RequestKind.STREAM, resumable = true, timeoutMillis = 10_000)
        val response = harness.use { it.exchange(request(waitMillis = 10_000)) }
        expectThat(Regex("data: (\\d)").findAll(response).count()).isEqualTo(3)
        expectThat(Regex(": keep-alive").findAll(response).count()).isEqualTo(1_500)
        expectThat(response).endsWith("0\r\n\r\n")
    }

    // The deadline was looked at only while nothing arrived.
    @Test
    fun `ends a stream at its deadline when events that were relayed already are repeated without end`() {
        val endpoint = ScriptedEndpoint { socket, _, _ ->
            socket.send(STREAM_HEAD)
            socket.sendForever(chunk("id: 1\ndata: a\n\n".repeat(500)))
        }
        val started = System.nanoTime()
        val response = RelayHarness(endpoint, kind = RequestKind.STREAM).use { it.exchange(request()) }
        expectThat(response).contains("data: a").doesNotContain("0\r\n\r\n")
        expectThat(millisSince(started)).isLessThan(MAX_STREAM_MILLIS)
    }

    @Test
    fun `does not retry an endpoint that sends malformed responses while another is available`() {
        val broken = ScriptedEndpoint { socket, _, _ -> socket.sendForever("x".repeat(8_192)) }
        val serving = ScriptedEndpoint { socket, _, _ -> socket.send(sealed("ok")) }
        RelayHarness(broken, serving, kind = RequestKind.IDEMPOTENT).use { harness ->
            repeat(8) { expectThat(harness.exchange(request())).endsWith("ok") }
        }
        expectThat(broken.requests.size).isLessThan(2)
    }

    // The copy arrives when the next caller's request has been sent on the same connection.
    @Test
    fun `does not relay a duplicate response on a reused connection to the next caller`() {
        val endpoint = ScriptedEndpoint { socket, number, _ ->
            if (number == 2) socket.send(sealed("first", id = "1"))
            socket.send(sealed(if (number == 1) "first" else "second", id = number.toString()))
        }
        RelayHarness(endpoint).use { harness ->
            expectThat(harness.exchange(request(id = "1"))).endsWith("first")
            expectThat(harness.exchange(request(id = "2"))).endsWith("second").doesNotContain("first")
        }
    }

    // A response without an id may belong to another caller's request.
    @Test
    fun `does not relay a response without an id from an endpoint that has sent ids`() {
        val endpoint = ScriptedEndpoint { socket, number, _ ->
            val withoutId = "HTTP/1.1 201 Made\r\nSeal: s1\r\nContent-Length: 5\r\n\r\nfirst"
            socket.send(if (number == 1) sealed("first", id = "1") else withoutId)
        }
        RelayHarness(endpoint).use { harness ->
            expectThat(harness.exchange(request(id = "1"))).endsWith("first")
            expectThat(harness.exchange(request(id = "2"))).startsWith("HTTP/1.1 502 ")
        }
    }

    // Endpoints may refuse a request before they read its id. On a new connection there is no other request.
    @Test
    fun `accepts a refusal without an id on a new connection`() {
        val refusing = ScriptedEndpoint { socket, _, _ -> socket.send(REFUSAL) }
        RelayHarness(refusing).use { harness ->
            expectThat(harness.exchange(request())).startsWith("HTTP/1.1 503 ")
        }
    }

    // The endpoint may be running the request: the caller would be told that it has not run, or it would run twice.
    @Test
    fun `does not take a repeated refusal without an id for the response to the next request`() {
        val arrivals = AtomicInteger()
        val script = { socket: Socket, _: Int, request: String ->
            if (request.contains("Id: 1")) {
                socket.send(sealed("first", id = "1"))
            } else {
                if (arrivals.incrementAndGet() == 1) socket.send(REFUSAL)
                Thread.sleep(20)
                socket.send(sealed("second", id = "2"))
            }
        }
        RelayHarness(ScriptedEndpoint(script), ScriptedEndpoint(script)).use { harness ->
            repeat(4) { harness.exchange(request(id = "1")) }
            val response = harness.exchange(request(id = "2"))
            expectThat(response.startsWith("HTTP/1.1 502 ") || response.endsWith("second")).isTrue()
            expectThat(arrivals.get()).isEqualTo(1)
        }
    }

    // The copy of the refusal would arrive in place of the response to the next request on the connection.
    @Test
    fun `sends no further request on a connection whose response had no id`() {
        val refused = ConcurrentHashMap.newKeySet<Socket>()
        val endpoint = ScriptedEndpoint { socket, number, _ ->
            if (number == 1 || socket in refused) socket.send(REFUSAL) else socket.send(sealed("second", id = "2"))
            if (number == 1) refused += socket
        }
        RelayHarness(endpoint).use { harness ->
            expectThat(harness.exchange(request(id = "1"))).startsWith("HTTP/1.1 503 ")
            expectThat(harness.exchange(request(id = "2"))).endsWith("second")
        }
    }

    @Test
    fun `skips a repeated refusal that carries the id of an earlier request`() {
        val refusal = REFUSAL.replace("Not-Run: 1", "Not-Run: 1\r\nId: 1")
        val endpoint = ScriptedEndpoint { socket, number, _ ->
            socket.send(refusal)
            if (number > 1) socket.send(sealed("second", id = "2"))
        }
        RelayHarness(endpoint).use { harness ->
            expectThat(harness.exchange(request(id = "1"))).startsWith("HTTP/1.1 503 ")
            expectThat(harness.exchange(request(id = "2"))).endsWith("second")
        }
    }

    @Test
    fun `resumes a stream at another endpoint when only bytes without complete events arrive`() {
        val script = { socket: Socket, _: Int, request: String ->
            if (request.contains("Last-Event-Id: 1")) {
                socket.send(STREAM_HEAD + chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n")
            } else {
                socket.send(STREAM_HEAD + chunk("id: 1\ndata: a\n\nid: 2\ndata: "))
                repeat(100) {
                    Thread.sleep(100)
                    socket.send(chunk("x"))
                }
            }
        }
        val harness = RelayHarness(
            ScriptedEndpoint(script),
            ScriptedEndpoint(script),
            kind = RequestKind.STREAM,
            resumable = true,
            timeoutMillis = 5_000,
        )
        val response = harness.use { it.exchange(request(waitMillis = 5_000)) }
        expectThat(response).contains("data: a").contains("data: b").endsWith("0\r\n\r\n")
    }

    @Test
    fun `relays a slow stream to its end while events keep arriving`() {
        val endpoint = ScriptedEndpoint { socket, _, _ ->
            socket.send(STREAM_HEAD)
            repeat(5) { number ->
                Thread.sleep(700)
                socket.send(chunk("id: ${number + 1}\ndata: $number\n\n"))
            }
            socket.send("0\r\n\r\n")
        }
        val harness = RelayHarness(endpoint, kind = RequestKind.STREAM, resumable = true, timeoutMillis = 10_000)
        val response = harness.use { it.exchange(request(waitMillis = 10_000)) }
        expectThat(Regex("data: (\\d)").findAll(response).count()).isEqualTo(5)
        expectThat(response).endsWith("0\r\n\r\n")
    }

    /**
     * Asserts that a non-idempotent request to an endpoint that runs [script] gets a 502 well before its deadline, and
     * that the connection to the endpoint is closed.
     */
    private fun failsFast(script: (Socket) -> Unit) {
        val endpoint = ScriptedEndpoint { socket, _, _ -> script(socket) }
        val started = System.nanoTime()
        val response = RelayHarness(endpoint).use { it.exchange(request()) }
        expectThat(response).startsWith("HTTP/1.1 502 ")
        expectThat(millisSince(started)).isLessThan(MAX_FAILURE_MILLIS)
        expectThat(endpoint.connectionEnded.await(1, TimeUnit.SECONDS)).isTrue()
    }

    private fun millisSince(started: Long) = (System.nanoTime() - started) / 1_000_000

    private fun request(id: String = "1", waitMillis: Long = 2_000) =
        "POST /r/x HTTP/1.1\r\nHost: h\r\nId: $id\r\nWait: $waitMillis\r\nAuthorization: Key secret\r\n" +
            "Connection: close\r\nContent-Length: 0\r\n\r\n"

    private fun sealed(body: String, id: String = "1") =
        "HTTP/1.1 201 Made\r\nId: $id\r\nSeal: s1\r\nContent-Length: ${body.length}\r\n\r\n$body"

    private fun chunk(text: String) = "${text.length.toString(16)}\r\n$text\r\n"

    private companion object {
        const val REFUSAL = "HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
        const val STREAM_HEAD = "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s1\r\nContent-Type: text/event-stream\r\n" +
            "Transfer-Encoding: chunked\r\n\r\n"

        // Well below the request's deadline of two seconds, which therefore did not end it.
        const val MAX_FAILURE_MILLIS = 1_500L

        // The deadline of two seconds and a second for a busy machine.
        const val MAX_STREAM_MILLIS = 3_000L
    }
}
