package org.parsleymoor.entry

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.parsleymoor.core.Clock
import org.parsleymoor.entry.control.RejectedResponseLog
import org.parsleymoor.entry.log.StructuredLog
import org.parsleymoor.entry.net.CallFailure
import org.parsleymoor.entry.net.ConnectionPool
import org.parsleymoor.entry.net.ControlClient
import org.parsleymoor.entry.protocol.ControlRequest
import org.parsleymoor.relay.fleet.SocketAddress
import org.parsleymoor.relay.http.MessageFailure
import org.parsleymoor.relay.limits.HeldBytes
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotNull
import strikt.assertions.isTrue
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.util.concurrent.atomic.AtomicInteger

/** Responses to control calls. Guards against responses that are far larger than such a response can be. */
class ControlResponseTest {
    private val vertx = Vertx.vertx()
    private val held = HeldBytes(1_000_000)
    private val client = ControlClient(ConnectionPool(vertx.createNetClient(), Clock.System), held)
    private val request = ControlRequest("GET", "/state", maxResponseBytes = LIMIT)

    @AfterEach
    fun close() {
        vertx.close()
    }

    @ParameterizedTest
    @ValueSource(booleans = [false, true])
    fun `a response as large as the limit of its request is read, and a larger one is not`(chunked: Boolean) {
        expectThat(call(body(LIMIT, chunked)).get()?.body?.length).isEqualTo(LIMIT.toInt())
        val failure = call(body(LIMIT + 1, chunked)).getError()
        expectThat(failure).isNotNull().isA<CallFailure.Unanswered>()
            .get { fault }.isEqualTo(MessageFailure.BODY_TOO_LARGE)
        expectThat(held.totalBytes).isEqualTo(0)
    }

    @Test
    fun `a response of which only the status counts is read without a body`() {
        expectThat(call("HTTP/1.1 202 Yes\r\nContent-Length: 0\r\n\r\n").get()?.status).isEqualTo(202)
    }

    // Otherwise the responses of all endpoints that answer at once are decoded before the first of them is dropped.
    @Test
    fun `responses are decoded one at a time while they are in the account`() {
        val endpoints = List(20) { ScriptedEndpoint { socket, _, _ -> socket.send(body(LIMIT, chunked = false)) } }
        val decoding = AtomicInteger()
        val heldMeanwhile = ArrayList<Long>()
        val responses = onEventLoop {
            coroutineScope {
                endpoints.map { endpoint ->
                    async {
                        client.call(SocketAddress("127.0.0.1", endpoint.port), request, TIMEOUT_MILLIS) { response ->
                            check(decoding.incrementAndGet() == 1) { "another response is being decoded" }
                            heldMeanwhile += held.totalBytes
                            response.body.length.also { decoding.decrementAndGet() }
                        }
                    }
                }.awaitAll()
            }
        }
        expectThat(responses.count { it.isOk }).isEqualTo(endpoints.size)
        expectThat(heldMeanwhile.min()).isGreaterThan(LIMIT - 1)
        expectThat(held.totalBytes).isEqualTo(0)
    }

    // Otherwise one response that cannot be decoded keeps its room, or its connection, for ever.
    @Test
    fun `an error while a response is decoded ends this call only`() {
        val endpoint = ScriptedEndpoint { socket, _, _ -> socket.send(body(10, chunked = false)) }
        val address = SocketAddress("127.0.0.1", endpoint.port)
        onEventLoop {
            val thrown = runCatching { client.call(address, request, TIMEOUT_MILLIS) { throw StackOverflowError() } }
            expectThat(thrown.exceptionOrNull()).isNotNull().isA<StackOverflowError>()
            expectThat(client.call(address, request, TIMEOUT_MILLIS).isOk).isTrue()
        }
        expectThat(held.totalBytes).isEqualTo(0)
    }

    // One faulty endpoint must not fill the log; the metric counts every response.
    @Test
    fun `rejected responses are counted, and logged once a second for each address`() {
        val output = ByteArrayOutputStream()
        val metrics = EntryMetrics()
        var nowMillis = 0L
        val log = StructuredLog({ nowMillis }, "test", PrintStream(output, true))
        val rejected = RejectedResponseLog(log, metrics) { nowMillis }
        repeat(10) { call ->
            nowMillis = call * 250L
            rejected.record(SocketAddress("h", 1), request, RejectionReason.UNDECODABLE, "expected a report")
        }
        rejected.record(SocketAddress("h", 2), request, RejectionReason.TOO_LARGE, "the body is larger")
        log.flush(1_000)
        Thread.sleep(20)
        expectThat(output.toString().lines().filter { "control.responseRejected" in it }).hasSize(4)
        expectThat(metrics.prometheusText())
            .contains("parsleymoor_control_responses_rejected_total{reason=\"undecodable\"} 10")
            .contains("parsleymoor_control_responses_rejected_total{reason=\"too_large\"} 1")
    }

    private fun call(response: String) = ScriptedEndpoint { socket, _, _ -> socket.send(response) }.use { endpoint ->
        onEventLoop { client.call(SocketAddress("127.0.0.1", endpoint.port), request, TIMEOUT_MILLIS) }
    }

    private fun <T> onEventLoop(action: suspend () -> T): T =
        runBlocking(vertx.orCreateContext.dispatcher()) { action() }

    private fun body(bytes: Long, chunked: Boolean): String {
        val text = "x".repeat(bytes.toInt())
        return if (chunked) {
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${chunk(text)}$STREAM_END"
        } else {
            "HTTP/1.1 200 OK\r\nContent-Length: $bytes\r\n\r\n$text"
        }
    }

    private companion object {
        const val LIMIT = 10_000L
        const val TIMEOUT_MILLIS = 5_000L
    }
}
