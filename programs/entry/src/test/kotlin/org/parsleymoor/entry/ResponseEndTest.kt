package org.parsleymoor.entry

import com.github.michaelbull.result.getError
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.EnumSource
import org.parsleymoor.core.Clock
import org.parsleymoor.entry.net.CallFailure
import org.parsleymoor.entry.net.ConnectionPool
import org.parsleymoor.entry.net.ControlClient
import org.parsleymoor.entry.protocol.ControlRequest
import org.parsleymoor.relay.fleet.SocketAddress
import org.parsleymoor.relay.limits.HeldBytes
import org.parsleymoor.relay.routing.CallerLimits
import org.parsleymoor.relay.routing.RequestKind
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.doesNotContain
import strikt.assertions.endsWith
import strikt.assertions.isA
import strikt.assertions.startsWith
import java.net.Socket
import java.util.concurrent.CountDownLatch

/**
 * The end of a response before, while and after its endpoint takes a body that is larger than the buffers between. A
 * reset while bytes are still to be sent shows itself as a failed write, and what it cut off looked complete.
 */
class ResponseEndTest {
    private val responseReceived = CountDownLatch(1)

    /** When an endpoint answers: before it has read the body, when it has read half of it, or all. */
    enum class Phase(val share: Int) { BEFORE(0), DURING(1), AFTER(2) }

    /** How a response says where its body ends. */
    enum class Framing(val fields: String) {
        UNTIL_CLOSE(""),
        LENGTH("Content-Length: 60\r\n"),
        CHUNKED("Transfer-Encoding: chunked\r\n"),
    }

    @ParameterizedTest
    @CsvSource(textBlock = ALL_PHASES_AND_FRAMINGS)
    fun `an answer that is reset on its way does not look complete`(phase: Phase, framing: Framing) {
        val response = relay(RequestKind.IDEMPOTENT) { socket ->
            socket.begin(phase, framing, text = "part")
            socket.letRelayRead()
            socket.reset()
        }
        expectThat(response).startsWith("HTTP/1.1 502 ").doesNotContain("part")
    }

    @ParameterizedTest
    @CsvSource(textBlock = ALL_PHASES_AND_FRAMINGS)
    fun `a stream that is reset on its way does not look complete`(phase: Phase, framing: Framing) {
        val response = relay(RequestKind.STREAM) { socket ->
            socket.begin(phase, framing, text = EVENT)
            responseReceived.await()
            socket.reset()
        }
        expectThat(response).contains("data: a").doesNotContain("0\r\n\r\n")
    }

    // The endpoint no longer sends, and has not taken the request that it answers.
    @ParameterizedTest
    @EnumSource(value = Phase::class, names = ["BEFORE", "DURING"])
    fun `an answer without length that ends while the request is being sent does not look complete`(phase: Phase) {
        val response = relay(RequestKind.IDEMPOTENT) { socket ->
            socket.begin(phase, Framing.UNTIL_CLOSE, text = "part")
            socket.letRelayRead()
            socket.shutdownOutput()
        }
        expectThat(response).startsWith("HTTP/1.1 502 ").doesNotContain("part")
    }

    @ParameterizedTest
    @EnumSource(Phase::class)
    fun `an answer without length that ends after the body was read is complete`(phase: Phase) {
        for (end in listOf(Socket::close, Socket::shutdownOutput)) {
            val response = relay(RequestKind.IDEMPOTENT) { socket ->
                socket.begin(phase, Framing.UNTIL_CLOSE, text = "whole")
                socket.takeBody(Phase.AFTER.share - phase.share)
                end(socket)
            }
            expectThat(response).startsWith("HTTP/1.1 200 ").endsWith("whole")
        }
    }

    @ParameterizedTest
    @EnumSource(Phase::class)
    fun `a stream without length that ends after the body was read is complete`(phase: Phase) {
        for (end in listOf(Socket::close, Socket::shutdownOutput)) {
            val response = relay(RequestKind.STREAM) { socket ->
                socket.begin(phase, Framing.UNTIL_CLOSE, text = EVENT)
                socket.takeBody(Phase.AFTER.share - phase.share)
                end(socket)
            }
            expectThat(response).contains("data: a").endsWith("0\r\n\r\n")
        }
    }

    // Its framing says that nothing is missing.
    @ParameterizedTest
    @EnumSource(Phase::class)
    fun `an answer with a length that arrived whole is complete, also when a reset follows`(phase: Phase) {
        val response = relay(RequestKind.IDEMPOTENT) { socket ->
            socket.begin(phase, Framing.LENGTH, text = WHOLE)
            responseReceived.await()
            socket.reset()
        }
        expectThat(response).startsWith("HTTP/1.1 200 ").endsWith(WHOLE)
    }

    // The object store and engines are called over the same connections.
    @ParameterizedTest
    @EnumSource(Phase::class)
    fun `a control response that is reset on its way is no response`(phase: Phase) {
        val endpoint = ScriptedEndpoint({ socket, _, _ ->
            socket.begin(phase, Framing.UNTIL_CLOSE, text = "part")
            socket.letRelayRead()
            socket.reset()
        }, readsBodies = false, RECEIVE_BUFFER_BYTES)
        val vertx = Vertx.vertx()
        val request = ControlRequest("PUT", "/x", "b".repeat(BODY_BYTES))
        val response = runBlocking(vertx.orCreateContext.dispatcher()) {
            val client = ControlClient(ConnectionPool(vertx.createNetClient(), Clock.System), HeldBytes(1_000_000))
            client.call(SocketAddress("127.0.0.1", endpoint.port), request, DEADLINE_MILLIS)
        }
        vertx.close()
        expectThat(response.getError()).isA<CallFailure.Unanswered>()
    }

    /** Sends a request with a long body to an endpoint that runs [script], and returns what its caller receives. */
    private fun relay(kind: RequestKind, script: (Socket) -> Unit): String {
        val endpoint = ScriptedEndpoint({ socket, _, _ -> script(socket) }, readsBodies = false, RECEIVE_BUFFER_BYTES)
        val harness = RelayHarness(endpoint, kind = kind, attempts = 1, timeoutMillis = DEADLINE_MILLIS)
        harness.limits = CallerLimits(headBytes = 2_048, bodyBytes = BODY_BYTES)
        return harness.use { open -> open.caller().use { it.exchange() } }
    }

    /** Sends the request, returns all that arrives, and notes when that is a whole event or answer. */
    private fun Socket.exchange(): String {
        send(REQUEST + "b".repeat(BODY_BYTES))
        val received = StringBuilder()
        val input = getInputStream().reader()
        generateSequence { input.read().takeIf { it >= 0 } }.forEach {
            received.append(it.toChar())
            if (received.endsWith(EVENT) || received.endsWith(WHOLE)) responseReceived.countDown()
        }
        return received.toString()
    }

    /** Takes as much of the body as [phase] says and sends the head of the response and [text]. */
    private fun Socket.begin(phase: Phase, framing: Framing, text: String) {
        takeBody(phase.share)
        val type = if (text == EVENT) "Content-Type: text/event-stream\r\n" else ""
        val size = if (framing == Framing.CHUNKED) "%x\r\n".format(text.length) else ""
        val end = if (framing == Framing.CHUNKED) "\r\n" else ""
        send("HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s1\r\n" + type + framing.fields + "\r\n" + size + text + end)
    }

    /** Takes [halves] of the body from this socket. */
    private fun Socket.takeBody(halves: Int) {
        getInputStream().readNBytes(BODY_BYTES / 2 * halves)
    }

    /** Leaves time to read what was sent: a reset discards it otherwise, and nothing is there to look complete. */
    private fun Socket.letRelayRead() {
        getOutputStream().flush()
        Thread.sleep(200)
    }

    private companion object {
        const val ALL_PHASES_AND_FRAMINGS = """
            BEFORE, UNTIL_CLOSE
            BEFORE, LENGTH
            BEFORE, CHUNKED
            DURING, UNTIL_CLOSE
            DURING, LENGTH
            DURING, CHUNKED
            AFTER, UNTIL_CLOSE
            AFTER, LENGTH
            AFTER, CHUNKED"""
        const val RECEIVE_BUFFER_BYTES = 16_384
        val WHOLE = "x".repeat(60)
        const val EVENT = "id: 1\ndata: a\n\n"

        // More than twice what the buffers of a connection hold.
        const val BODY_BYTES = 12_000_000
        const val DEADLINE_MILLIS = 60_000L
        const val REQUEST = "POST /r/x HTTP/1.1\r\nHost: h\r\nId: 1\r\nWait: $DEADLINE_MILLIS\r\n" +
            "Authorization: Key secret\r\nConnection: close\r\nContent-Length: $BODY_BYTES\r\n\r\n"
    }
}
