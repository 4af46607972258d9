package org.parsleymoor.entry

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import org.parsleymoor.entry.callers.CloseReason
import org.parsleymoor.relay.routing.CallerLimits
import org.parsleymoor.relay.routing.RequestKind
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.endsWith
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import strikt.assertions.startsWith
import java.io.IOException
import java.io.PrintWriter
import java.net.Socket
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.coroutines.cancellation.CancellationException

/** Guards against complete requests that get neither an answer nor a refusal. */
class UnansweredRequestTest {
    /** A fault of the program or of a library while a request is handled. */
    enum class Fault(val create: () -> Throwable) {
        CHECKED_EXCEPTION({ IOException("unexpected") }),
        STRAY_CANCELLATION({ CancellationException("of something else") }),
        STACK_OVERFLOW({ StackOverflowError() }),
        OUT_OF_MEMORY({ OutOfMemoryError("simulated") }),
        BARE_THROWABLE({ object : Throwable("unexpected") {} }),

        // A full heap fails the log line too.
        UNPRINTABLE({ UnprintableError() }),
    }

    // Callers count on the idle limit that is in force when they send, not on the one of their previous request.
    @Test
    fun `keeps idle connections open for a raised idle limit`() {
        RelayHarness(answering()).use { harness ->
            harness.limits = limits(idleMillis = 400)
            harness.caller().use { socket ->
                Thread.sleep(100)
                harness.limits = limits(idleMillis = 5_000)
                Thread.sleep(600)
                socket.send(request())
                expectThat(socket.readAll()).startsWith("HTTP/1.1 200 ")
            }
        }
    }

    // Callers that still count on the former limit would send on a connection that is being closed.
    @Test
    fun `keeps connections that are idle already open when the idle limit is lowered`() {
        RelayHarness(answering()).use { harness ->
            harness.limits = limits(idleMillis = 5_000)
            harness.caller().use { socket ->
                Thread.sleep(100)
                harness.limits = limits(idleMillis = 50)
                Thread.sleep(400)
                socket.send(request())
                expectThat(socket.readAll()).startsWith("HTTP/1.1 200 ")
            }
        }
    }

    // The event loop finds the request and the end of the idle time together when it was busy meanwhile.
    @Test
    fun `serves a request that arrived before the idle limit while the event loop was busy`() {
        RelayHarness(answering()).use { harness ->
            harness.limits = limits(idleMillis = 300)
            harness.caller().use { socket ->
                Thread.sleep(200)
                harness.blockEventLoop(millis = 300)
                Thread.sleep(50)
                socket.send(request())
                expectThat(socket.readAll()).startsWith("HTTP/1.1 200 ")
            }
        }
    }

    // The idle limit bounds a pause; a body that keeps arriving may take longer.
    @Test
    fun `serves a body that takes longer than the idle limit without such a pause`() {
        RelayHarness(answering()).use { harness ->
            harness.limits = limits(idleMillis = 400)
            harness.caller().use { socket ->
                socket.send(request(bodyBytes = 3_000))
                repeat(6) {
                    Thread.sleep(150)
                    socket.send("x".repeat(500))
                }
                expectThat(socket.readAll()).startsWith("HTTP/1.1 200 ")
            }
        }
    }

    @Test
    fun `refuses a body that stops arriving`() {
        RelayHarness(answering()).use { harness ->
            harness.limits = limits(idleMillis = 300)
            harness.caller().use { socket ->
                socket.send(request(bodyBytes = 3_000) + "x")
                expectThat(socket.readAll()).startsWith("HTTP/1.1 408 ")
            }
        }
    }

    // A body of which a few bytes arrive now and then would occupy its connection for ever.
    @Test
    fun `refuses a body that arrives too slowly to ever end`() {
        RelayHarness(answering()).use { harness ->
            harness.limits = limits(idleMillis = 300)
            harness.caller().use { socket ->
                socket.send(request(bodyBytes = 9_000))
                thread(isDaemon = true) { runCatching { socket.sendSlowly(pauseMillis = 100, times = 40) } }
                expectThat(socket.readAll()).startsWith("HTTP/1.1 408 ")
            }
        }
    }

    // Only runtime exceptions were answered; anything else closed the connection without an answer.
    @ParameterizedTest
    @EnumSource
    fun `refuses a request when choosing an endpoint fails with any kind of throwable`(fault: Fault) {
        RelayHarness(answering()).use { harness ->
            harness.onEventLoop { it.endpoints.evacuated = FailingSet(fault.create) }
            expectThat(harness.exchange(request())).startsWith("HTTP/1.1 503").contains("Connection: close")
            if (fault != Fault.UNPRINTABLE) expectThat(harness.logged("request.failed")).hasSize(1)
        }
    }

    // The fault of one attempt ended the request, although it could go on elsewhere.
    @ParameterizedTest
    @EnumSource
    fun `serves a repeatable request elsewhere when an attempt fails with any kind of throwable`(fault: Fault) {
        val received = AtomicInteger()
        val endpoints = List(2) {
            ScriptedEndpoint { socket, _, _ ->
                val leaving = if (received.incrementAndGet() == 1) "Leaving: 1\r\n" else ""
                socket.send("HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s1\r\n${leaving}Content-Length: 2\r\n\r\nok")
            }
        }
        RelayHarness(*endpoints.toTypedArray(), kind = RequestKind.IDEMPOTENT).use { harness ->
            harness.onEventLoop { it.onLeaving = { _, _ -> throw fault.create() } }
            if (fault == Fault.UNPRINTABLE) {
                expectThat(harness.exchange(request())).startsWith("HTTP/1.1 502")
            } else {
                expectThat(harness.exchange(request())).startsWith("HTTP/1.1 200")
                expectThat(harness.logged("attempt.failed")).hasSize(1)
            }
        }
    }

    // The endpoint has the request, so that it must not be said not to have run.
    @ParameterizedTest
    @EnumSource
    fun `answers 502 when the only attempt fails after the request was sent`(fault: Fault) {
        val leaving = ScriptedEndpoint { socket, _, _ ->
            socket.send("HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s1\r\nLeaving: 1\r\nContent-Length: 2\r\n\r\nok")
        }
        RelayHarness(leaving).use { harness ->
            harness.onEventLoop { it.onLeaving = { _, _ -> throw fault.create() } }
            expectThat(harness.exchange(request())).startsWith("HTTP/1.1 502")
        }
    }

    // An exception while a request is handled ended its coroutine, which closed the connection without an answer.
    @Test
    fun `answers when handling a request fails unexpectedly`() {
        val leaving = ScriptedEndpoint { socket, _, _ ->
            socket.send("HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s1\r\nLeaving: 1\r\nContent-Length: 2\r\n\r\nok")
        }
        RelayHarness(leaving).use { harness ->
            harness.onEventLoop { it.onLeaving = { _, _ -> error("unexpected") } }
            expectThat(harness.exchange(request())).startsWith("HTTP/1.1 502").contains("Connection: close")
        }
    }

    @Test
    fun `refuses a request whose endpoint has an invalid address`() {
        RelayHarness().use { harness ->
            harness.addUnconnectableEndpoint()
            expectThat(harness.exchange(request())).startsWith("HTTP/1.1 503")
        }
    }

    // Reading pauses while the caller is slow; the data that arrives with the resumption was not noticed.
    @Test
    fun `relays a large stream to a slow caller to its end`() {
        val event = "x".repeat(60_000)
        val endpoint = ScriptedEndpoint { socket, _, _ ->
            socket.send(STREAM_HEAD)
            repeat(200) { number -> socket.send(chunk("id: ${number + 1}\ndata: $event\n\n")) }
            socket.send("0\r\n\r\n")
        }
        RelayHarness(endpoint, kind = RequestKind.STREAM, timeoutMillis = 20_000).use { harness ->
            harness.caller().use { socket ->
                socket.send(request(waitMillis = 20_000))
                Thread.sleep(1_000)
                expectThat(socket.readAll()).endsWith("0\r\n\r\n")
            }
        }
    }

    // Reading stopped at 128 KB and never went on, so that a proper head was refused as too slow.
    @Test
    fun `reads a head of more than the read-ahead within its limit`() {
        RelayHarness(answering()).use { harness ->
            harness.limits = CallerLimits(headBytes = 400_000)
            val filler = List(30) { "X-Filler-$it: ${"x".repeat(10_000)}\r\n" }.joinToString("")
            val answer = harness.exchange(request().replace("Host: h\r\n", "Host: h\r\n$filler"))
            expectThat(answer).startsWith("HTTP/1.1 200 ")
        }
    }

    // A caller that never reads held its response, its endpoint's connection and their memory without a time limit.
    @Test
    fun `gives up a caller that takes nothing of its response for the idle limit`() {
        val endpoint = ScriptedEndpoint { socket, _, _ ->
            socket.send(STREAM_HEAD)
            repeat(2_000) { number -> socket.send(chunk("id: ${number + 1}\ndata: ${"x".repeat(60_000)}\n\n")) }
        }
        RelayHarness(endpoint, kind = RequestKind.STREAM, timeoutMillis = 20_000).use { harness ->
            harness.limits = limits(idleMillis = 500)
            harness.caller().use { socket ->
                socket.send(request(waitMillis = 20_000))
                expectThat(harness.closures.poll(5, TimeUnit.SECONDS)?.reason).isEqualTo(CloseReason.NOT_READING)
                expectThat(endpoint.connectionEnded.await(1, TimeUnit.SECONDS)).isTrue()
            }
        }
    }

    // What the socket held back when its endpoint closed was dropped, and the stream looked broken off.
    @Test
    fun `relays a large stream that ends with its connection to a slow caller to its end`() {
        repeat(4) {
            val event = "x".repeat(20_000)
            val endpoint = ScriptedEndpoint { socket, _, _ ->
                socket.send("HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s1\r\nContent-Type: text/event-stream\r\n\r\n")
                repeat(300) { number -> socket.send("id: ${number + 1}\ndata: $event\n\n") }
                socket.close()
            }
            RelayHarness(endpoint, kind = RequestKind.STREAM, timeoutMillis = 6_000).use { harness ->
                harness.caller().use { socket ->
                    socket.send(request(waitMillis = 6_000))
                    Thread.sleep(400)
                    expectThat(socket.readAll()).contains("id: 300\n").endsWith("0\r\n\r\n")
                }
            }
        }
    }

    private class UnprintableError : OutOfMemoryError("simulated") {
        override fun printStackTrace(writer: PrintWriter) = throw OutOfMemoryError("while the trace is printed")
    }

    private fun answering() = ScriptedEndpoint { socket, _, _ ->
        socket.send("HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s1\r\nContent-Length: 2\r\n\r\nok")
    }

    private fun limits(idleMillis: Long) = CallerLimits(headBytes = 2_048, bodyBytes = 10_000, idleMillis = idleMillis)

    private fun Socket.readAll() = String(getInputStream().readAllBytes())

    private fun Socket.sendSlowly(pauseMillis: Long, times: Int) {
        repeat(times) {
            Thread.sleep(pauseMillis)
            send("x")
        }
    }

    private fun request(bodyBytes: Int = 0, waitMillis: Long = 2_000) =
        "POST /r/x HTTP/1.1\r\nHost: h\r\nId: 1\r\nWait: $waitMillis\r\nAuthorization: Key secret\r\n" +
            "Connection: close\r\nContent-Length: $bodyBytes\r\n\r\n"

    private fun chunk(text: String) = "${text.length.toString(16)}\r\n$text\r\n"

    private companion object {
        const val STREAM_HEAD = "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s1\r\nContent-Type: text/event-stream\r\n" +
            "Transfer-Encoding: chunked\r\n\r\n"
    }
}
