package org.parsleymoor.entry

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.parsleymoor.relay.routing.RequestKind
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.doesNotContain
import strikt.assertions.endsWith
import strikt.assertions.isEqualTo
import strikt.assertions.startsWith
import java.net.Socket
import java.util.concurrent.CountDownLatch

/**
 * Responses that break off in the head, the body or the stream, and what another endpoint sends after that. Guards
 * against responses that look complete to callers although they are not.
 */
class BrokenOffResponseTest {
    private val firstEventRelayed = CountDownLatch(1)

    // The caller would get a success with an empty or short body, framed as complete.
    @ParameterizedTest
    @ValueSource(
        strings = [
            "HTTP/1.1 200 OK\r\n",
            "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s1\r\n",
            "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s1\r\nContent-Le",
            "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s1\r\nContent-Length: 40\r\n\r",
        ],
    )
    fun `a response that ends inside its head is a failure`(head: String) {
        for (kind in RequestKind.entries) {
            for (end in listOf(Socket::close, Socket::reset)) {
                val endpoint = ScriptedEndpoint { socket, _, _ -> socket.breakOff(head, end) }
                val response = harness(endpoint, kind = kind, attempts = 1).use { it.exchange(request()) }
                expectThat(response).startsWith("HTTP/1.1 502 ").doesNotContain("s1")
            }
        }
    }

    @Test
    fun `a repeatable request whose response ends inside its head is served by another endpoint`() {
        val broken = ScriptedEndpoint { socket, _, _ ->
            socket.breakOff("HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s1\r\n", Socket::close)
        }
        val serving = ScriptedEndpoint { socket, _, _ -> socket.send(SEALED + "Content-Length: 2\r\n\r\nok") }
        harness(broken, serving, kind = RequestKind.IDEMPOTENT).use { harness ->
            repeat(3) { expectThat(harness.exchange(request())).startsWith("HTTP/1.1 200 ").endsWith("ok") }
        }
    }

    @Test
    fun `a stream without length that ends between events is complete`() {
        val response = relayStream { it.breakOff(STREAM_HEAD + "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", Socket::close) }
        expectThat(response).contains("data: b").endsWith("0\r\n\r\n")
    }

    // The rest of the event, and all later ones, are missing.
    @Test
    fun `a stream without length that ends inside an event does not look complete`() {
        val response = relayStream { it.breakOff(STREAM_HEAD + "id: 1\ndata: a\n\nid: 2\nda", Socket::close) }
        expectThat(response).contains("data: a").doesNotContain("id: 2").doesNotContain("0\r\n\r\n")
    }

    @Test
    fun `a stream without length that is reset does not look complete`() {
        val response = relayStream { it.resetAfterFirstEvent() }
        expectThat(response).contains("data: a").doesNotContain("0\r\n\r\n")
    }

    // An endpoint that ends as it begins to answer would give its caller an empty stream as a success.
    @Test
    fun `a stream without length that ends before its first event is a failure`() {
        expectThat(relayStream { it.breakOff(STREAM_HEAD, Socket::close) }).startsWith("HTTP/1.1 502 ")
    }

    // The caller would find the text of the error, or its whole head, in the middle of its stream.
    @ParameterizedTest
    @ValueSource(
        strings = [
            "HTTP/1.1 500 Oops\r\nId: 1\r\nSeal: s2\r\nContent-Length: 5\r\n\r\nerror",
            "HTTP/1.1 404 Gone\r\nId: 1\r\nSeal: s2\r\nContent-Length: 5\r\n\r\nerror",
            "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s2\r\nContent-Length: 5\r\n\r\nerror",
            "HTTP/1.1 204 None\r\nId: 1\r\nSeal: s2\r\n\r\n",
            "HTTP/1.1 404 No\r\nId: 1\r\nSeal: s2\r\nContent-Type: text/event-stream\r\n\r\nerror\n\n",
            "HTTP/1.1 503 Full\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 5\r\n\r\nerror",
            "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s2\r\nContent-Type: text/event-stream\r\n\r\n",
        ],
    )
    fun `an endpoint that does not continue a stream leaves it cut off after the events that arrived`(answer: String) {
        val script = { socket: Socket, _: Int, request: String ->
            if (request.contains("Last-Event-Id: 1")) {
                socket.breakOff(answer, Socket::close)
            } else {
                socket.resetAfterFirstEvent()
            }
        }
        val endpoints = Array(3) { ScriptedEndpoint(script) }
        val harness = harness(*endpoints, kind = RequestKind.STREAM, resumable = true, attempts = 3)
        val response = harness.use { relay(it) }
        expectThat(Regex("HTTP/1.1").findAll(response).count()).isEqualTo(1)
        expectThat(response).contains("data: a").doesNotContain("error").doesNotContain("s2")
            .doesNotContain("0\r\n\r\n")
    }

    private fun relayStream(script: (Socket) -> Unit): String {
        val endpoint = ScriptedEndpoint { socket, _, _ -> script(socket) }
        return harness(endpoint, kind = RequestKind.STREAM).use { relay(it) }
    }

    private fun harness(
        vararg endpoints: ScriptedEndpoint,
        kind: RequestKind,
        resumable: Boolean = false,
        attempts: Int = 2,
    ) = RelayHarness(
        *endpoints,
        kind = kind,
        resumable = resumable,
        attempts = attempts,
        timeoutMillis = DEADLINE_MILLIS
    )

    /** Returns all that a caller receives, and notes when that includes the first event. */
    private fun relay(harness: RelayHarness): String = harness.caller().use { socket ->
        socket.send(request())
        val received = StringBuilder()
        val input = socket.getInputStream().reader()
        generateSequence { input.read().takeIf { it >= 0 } }.forEach {
            received.append(it.toChar())
            if (received.endsWith("data: a\n\n")) firstEventRelayed.countDown()
        }
        received.toString()
    }

    /** Sends the first event and resets the connection when a caller has it: a reset discards what was not read. */
    private fun Socket.resetAfterFirstEvent() {
        send(STREAM_HEAD + "id: 1\ndata: a\n\n")
        firstEventRelayed.await()
        reset()
    }

    /** Sends [text], waits until it has probably been read, and ends the connection with [end]. */
    private fun Socket.breakOff(text: String, end: (Socket) -> Unit) {
        send(text)
        Thread.sleep(50)
        end(this)
    }

    private fun request() = "POST /r/x HTTP/1.1\r\nHost: h\r\nId: 1\r\nWait: $DEADLINE_MILLIS\r\n" +
        "Authorization: Key secret\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

    private companion object {
        // The tests wait for the end of the response; a deadline that passes on a busy machine is answered with 504.
        const val DEADLINE_MILLIS = 60_000L
        const val SEALED = "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s1\r\n"
        const val STREAM_HEAD = SEALED + "Content-Type: text/event-stream\r\n\r\n"
    }
}
