package org.parsleymoor.entry

import org.junit.jupiter.api.Test
import org.parsleymoor.relay.routing.RequestKind
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.endsWith
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import strikt.assertions.startsWith
import java.net.Socket
import java.util.concurrent.TimeUnit

/**
 * Endpoints that send bytes that are no answer, without end, or an answer to an earlier request. Guards against memory
 * that grows with what an endpoint sends, against callers that wait until their time is over for an endpoint that can
 * only fail, and against answers that reach another caller.
 */
class MisbehavingEndpointTest {
    @Test
    fun `a head without end is given up at once`() = givesUp { socket ->
        socket.send("HTTP/1.1 200 OK\r\n")
        socket.sendForever("X-Filler: ${"x".repeat(100)}\r\n")
    }

    @Test
    fun `empty lines without end in place of a head are given up at once`() = givesUp { socket ->
        socket.sendForever("\r\n".repeat(1_000))
    }

    @Test
    fun `interim responses without end are given up at once`() = givesUp { socket ->
        socket.sendForever("HTTP/1.1 102 Processing\r\n\r\n".repeat(100))
    }

    @Test
    fun `a body without length and without end is given up at the limit`() = givesUp { socket ->
        socket.send("HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s1\r\n\r\n")
        socket.sendForever("x".repeat(8_192))
    }

    @Test
    fun `a chunked body without end is given up at the limit`() = givesUp { socket ->
        socket.send("HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s1\r\nTransfer-Encoding: chunked\r\n\r\n")
        socket.sendForever(chunk("x".repeat(8_192)))
    }

    @Test
    fun `a body that states an absurd length is given up at once`() = givesUp { socket ->
        socket.send("HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s1\r\nContent-Length: 99999999999\r\n\r\n")
        socket.sendForever("x".repeat(8_192))
    }

    @Test
    fun `trailers without end are given up`() = givesUp { socket ->
        socket.send("HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n")
        socket.sendForever("X-Filler: ${"x".repeat(100)}\r\n".repeat(50))
    }

    @Test
    fun `an answer to another request without end is given up at the limit`() = givesUp { socket ->
        socket.send("HTTP/1.1 200 OK\r\nId: other\r\nSeal: s1\r\n\r\n")
        socket.sendForever("x".repeat(8_192))
    }

    @Test
    fun `answers to other requests without end are given up`() = givesUp { socket ->
        socket.sendForever(sealed("late", id = "other").repeat(50))
    }

    @Test
    fun `the body of a refusal without end is given up and the request goes elsewhere`() {
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
    fun `a stream whose event has no end is broken off at the limit and does not look complete`() {
        val endpoint = ScriptedEndpoint { socket, _, _ ->
            socket.send(STREAM_HEAD + chunk("id: 1\ndata: a\n\nid: 2\ndata: "))
            socket.sendForever(chunk("x".repeat(8_192)))
        }
        val started = System.nanoTime()
        val answer = RelayHarness(endpoint, kind = RequestKind.STREAM).use { it.exchange(request()) }
        expectThat(answer).contains("data: a").doesNotContain("xxxx").doesNotContain("0\r\n\r\n")
        expectThat(millisSince(started)).isLessThan(GIVEN_UP_MILLIS)
        expectThat(endpoint.connectionEnded.await(1, TimeUnit.SECONDS)).isTrue()
    }

    @Test
    fun `an endpoint that sends no answer is not asked again while another serves`() {
        val broken = ScriptedEndpoint { socket, _, _ -> socket.sendForever("x".repeat(8_192)) }
        val serving = ScriptedEndpoint { socket, _, _ -> socket.send(sealed("ok")) }
        RelayHarness(broken, serving, kind = RequestKind.IDEMPOTENT).use { harness ->
            repeat(8) { expectThat(harness.exchange(request())).endsWith("ok") }
        }
        expectThat(broken.requests.size).isLessThan(2)
    }

    // The second copy arrives when the next caller's request is on its way on the same connection.
    @Test
    fun `a second copy of an answer on a connection in use again does not reach the next caller`() {
        val endpoint = ScriptedEndpoint { socket, number, _ ->
            if (number == 2) socket.send(sealed("first", id = "1"))
            socket.send(sealed(if (number == 1) "first" else "second", id = number.toString()))
        }
        RelayHarness(endpoint).use { harness ->
            expectThat(harness.exchange(request(id = "1"))).endsWith("first")
            expectThat(harness.exchange(request(id = "2"))).endsWith("second").doesNotContain("first")
        }
    }

    // Nothing says whose such an answer is; another caller's answer must not be passed on as this one's.
    @Test
    fun `an answer without an id from an endpoint that gives ids is not passed on`() {
        val endpoint = ScriptedEndpoint { socket, number, _ ->
            val unnamed = "HTTP/1.1 201 Made\r\nSeal: s1\r\nContent-Length: 5\r\n\r\nfirst"
            socket.send(if (number == 1) sealed("first", id = "1") else unnamed)
        }
        RelayHarness(endpoint).use { harness ->
            expectThat(harness.exchange(request(id = "1"))).endsWith("first")
            expectThat(harness.exchange(request(id = "2"))).startsWith("HTTP/1.1 502 ")
        }
    }

    // Endpoints refuse before they look at the request's id.
    @Test
    fun `a refusal without an id is taken from an endpoint that gives ids`() {
        val refusing = ScriptedEndpoint { socket, number, _ ->
            val refusal = "HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
            socket.send(if (number == 1) sealed("first", id = "1") else refusal)
        }
        RelayHarness(refusing).use { harness ->
            expectThat(harness.exchange(request(id = "1"))).endsWith("first")
            expectThat(harness.exchange(request(id = "2"))).startsWith("HTTP/1.1 503 ")
        }
    }

    @Test
    fun `a stream that sends a byte now and then but no event goes on at another endpoint`() {
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
        val answer = harness.use { it.exchange(request(waitMillis = 5_000)) }
        expectThat(answer).contains("data: a").contains("data: b").endsWith("0\r\n\r\n")
    }

    @Test
    fun `a slow stream whose events keep coming is passed on to its end`() {
        val endpoint = ScriptedEndpoint { socket, _, _ ->
            socket.send(STREAM_HEAD)
            repeat(5) { number ->
                Thread.sleep(700)
                socket.send(chunk("id: ${number + 1}\ndata: $number\n\n"))
            }
            socket.send("0\r\n\r\n")
        }
        val harness = RelayHarness(endpoint, kind = RequestKind.STREAM, resumable = true, timeoutMillis = 10_000)
        val answer = harness.use { it.exchange(request(waitMillis = 10_000)) }
        expectThat(Regex("data: (\\d)").findAll(answer).count()).isEqualTo(5)
        expectThat(answer).endsWith("0\r\n\r\n")
    }

    /** A request that may not be repeated gets a true answer long before its time is over, and the endpoint is left. */
    private fun givesUp(script: (Socket) -> Unit) {
        val endpoint = ScriptedEndpoint { socket, _, _ -> script(socket) }
        val started = System.nanoTime()
        val answer = RelayHarness(endpoint).use { it.exchange(request()) }
        expectThat(answer).startsWith("HTTP/1.1 502 ")
        expectThat(millisSince(started)).isLessThan(GIVEN_UP_MILLIS)
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
        const val STREAM_HEAD = "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s1\r\nContent-Type: text/event-stream\r\n" +
            "Transfer-Encoding: chunked\r\n\r\n"

        // The request has two seconds; a bound well below them shows that it was not its time limit that ended it.
        const val GIVEN_UP_MILLIS = 1_500L
    }
}
