package org.parsleymoor.entry

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import org.junit.jupiter.params.provider.ValueSource
import org.parsleymoor.core.Clock
import org.parsleymoor.relay.routing.RequestKind
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.endsWith
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import strikt.assertions.startsWith
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/** Guards against a sound answer that is given up before another endpoint goes on with the request. */
class HandoverTest {
    /** What the other endpoints do with a request whose first endpoint is silent. */
    enum class Other(val act: (Socket) -> Unit) {
        FULL({ it.send(NOT_RUN.format("503 Full", "")) }),
        PAUSED({ it.send(NOT_RUN.format("503 Later", "Retry-After: 3\r\n")) }),
        OTHER_WEIGHTS({ it.send(NOT_RUN.format("421 Other", "")) }),
        FAILING({ it.send("HTTP/1.1 500 Failed\r\nId: 1\r\nSeal: s1\r\nContent-Length: 0\r\n\r\n") }),
        RESETTING({ it.reset() }),
        SILENT_TOO({ Thread.sleep(LONG_SILENCE_MILLIS) }),
    }

    // The stream was closed in the middle when the next endpoint refused it, although its own one was sound.
    @ParameterizedTest
    @EnumSource
    fun `keeps a silent stream whose successor does not go on`(other: Other) {
        harness(endpoints(firstScript = silentStream(), other = other.act)).use {
            expectThat(it.exchange(relayRequest(PROMPT_FIELDS)))
                .contains("data: a").contains("data: b").endsWith(STREAM_END)
        }
    }

    // The fault in the choice of a successor ended the attempt at the sound endpoint.
    @Test
    fun `keeps a silent request when choosing a successor fails`() {
        val arrived = CountDownLatch(1)
        val late: (Socket) -> Unit = { socket ->
            arrived.countDown()
            Thread.sleep(SILENCE_MILLIS)
            socket.send(COMPLETE)
        }
        harness(endpoints(firstScript = late) {}, RequestKind.IDEMPOTENT).use { harness ->
            val fault = thread {
                arrived.await()
                harness.onEventLoop { it.endpoints.evacuated = FailingSet { IllegalStateException("unexpected") } }
            }
            expectThat(harness.exchange(relayRequest())).startsWith("HTTP/1.1 200").endsWith("ok")
            fault.join()
        }
    }

    // The fault of an attempt beside the first ended both.
    @Test
    fun `keeps a silent stream whose successor fails with an unexpected error`() {
        val leaving: (Socket) -> Unit = { it.send(STREAM_HEAD.replace("Seal: s1", "Seal: s1\r\nLeaving: 1")) }
        harness(endpoints(firstScript = silentStream(), other = leaving)).use { harness ->
            harness.onEventLoop { it.onLeaving = { _, _ -> error("unexpected") } }
            expectThat(harness.exchange(relayRequest(PROMPT_FIELDS)))
                .contains("data: a").contains("data: b").endsWith(STREAM_END)
        }
    }

    // A request that had no event yet was answered 502.
    @ParameterizedTest
    @EnumSource
    fun `keeps a silent prompt whose successor does not go on`(other: Other) {
        val late: (Socket) -> Unit = { socket ->
            Thread.sleep(SILENCE_MILLIS)
            socket.send(STREAM_HEAD + event(1, "a") + STREAM_END)
        }
        harness(endpoints(firstScript = late, other = other.act)).use {
            expectThat(it.exchange(relayRequest(PROMPT_FIELDS))).contains("data: a").endsWith(STREAM_END)
        }
    }

    // A plain request was answered 502 although its endpoint answered a moment later.
    @ParameterizedTest
    @EnumSource
    fun `keeps a silent plain request whose successor does not go on`(other: Other) {
        val late: (Socket) -> Unit = { socket ->
            Thread.sleep(SILENCE_MILLIS)
            socket.send(COMPLETE)
        }
        harness(endpoints(firstScript = late, other = other.act), RequestKind.IDEMPOTENT).use {
            expectThat(it.exchange(relayRequest())).startsWith("HTTP/1.1 200").endsWith("ok")
        }
    }

    // Streams that moved together to the same endpoint were all lost when it refused them.
    @Test
    fun `keeps all streams of an endpoint that is silent`() {
        harness(endpoints(first = 6, silentStream(), Other.FULL.act)).use { harness ->
            val callers = List(6) { harness.caller().also { it.send(relayRequest(PROMPT_FIELDS)) } }
            callers.forEach { socket ->
                expectThat(String(socket.getInputStream().readAllBytes())).contains("data: b").endsWith(STREAM_END)
            }
        }
    }

    // The events of two runs must not be mixed when the first endpoint goes on while the second has begun to work.
    @Test
    fun `relays a stream once when its endpoint goes on before the successor`() {
        val successorBegun = CountDownLatch(1)
        val successorClosed = CountDownLatch(1)
        val resumed: (Socket) -> Unit = { socket ->
            socket.send(STREAM_HEAD + event(1, "a"))
            successorBegun.await()
            socket.send(event(2, "b") + STREAM_END)
        }
        val endpoints = endpoints(firstScript = resumed) { socket ->
            successorBegun.countDown()
            socket.closedMillis()
            successorClosed.countDown()
        }
        harness(endpoints).use {
            val answer = it.exchange(relayRequest(PROMPT_FIELDS))
            expectThat(answer).endsWith(STREAM_END)
            expectThat(Regex("data: ").findAll(answer).count()).isEqualTo(2)
        }
        expectThat(successorClosed.await(5, TimeUnit.SECONDS)).isTrue()
    }

    // A stream whose endpoint has ended without a word was lost, or worked on by two endpoints for too long.
    @ParameterizedTest
    @ValueSource(longs = [0, 150, 1_000])
    fun `resumes a stream at its successor when its endpoint stays silent`(firstEventMillis: Long) {
        val closedMillis = AtomicLong()
        val startedMillis = AtomicLong()
        val dead: (Socket) -> Unit = { socket ->
            socket.send(STREAM_HEAD + event(1, "a"))
            closedMillis.set(socket.closedMillis())
        }
        val endpoints = endpoints(firstScript = dead) { socket ->
            startedMillis.set(System.currentTimeMillis())
            socket.send(STREAM_HEAD)
            Thread.sleep(firstEventMillis)
            socket.send(event(2, "b") + STREAM_END)
        }
        val sentMillis = System.currentTimeMillis()
        harness(endpoints).use {
            expectThat(it.exchange(relayRequest(PROMPT_FIELDS)))
                .contains("data: a").contains("data: b").endsWith(STREAM_END)
        }
        expectThat(System.currentTimeMillis() - sentMillis).isLessThan(CALLERS_WAIT_MILLIS)
        expectThat(endpoints.flatMap { it.requests }).hasSize(2)
        expectThat(closedMillis.get() - startedMillis.get()).isLessThan(MAX_OVERLAP_MILLIS)
    }

    // The first endpoint was given up for a successor that was alive but then refused, and no other was left.
    @Test
    fun `completes a stream whose successor shows life and refuses later`() {
        val received = AtomicInteger()
        val successorAsked = CountDownLatch(1)
        val endpoints = List(2) {
            ScriptedEndpoint { socket, _, request ->
                val first = received.incrementAndGet() == 1
                when {
                    first -> silentStream()(socket)
                    request.contains("Last-Event-Id: 1") && received.get() > 2 ->
                        socket.send(STREAM_HEAD + event(2, "b") + STREAM_END)
                    else -> {
                        successorAsked.countDown()
                        Thread.sleep(LATE_REFUSAL_MILLIS)
                        Other.FULL.act(socket)
                    }
                }
            }
        }
        harness(endpoints).use { harness ->
            val alive = thread(isDaemon = true) {
                successorAsked.await()
                harness.onEventLoop { view ->
                    view.endpoints.all.forEach { it.answeredMillis = Clock.System.nowMillis() }
                }
            }
            val answer = harness.exchange(relayRequest(PROMPT_FIELDS))
            alive.join()
            expectThat(answer).contains("data: a").contains("data: b").endsWith(STREAM_END)
        }
    }

    // A stream that had moved once was not watched again.
    @Test
    fun `moves a stream again when the endpoint that took it over falls silent`() {
        val endpoints = List(3) {
            ScriptedEndpoint { socket, _, request ->
                val number = lastEventId(request) + 1
                socket.send(STREAM_HEAD + event(number, "e$number"))
                if (number < 3) socket.closedMillis() else socket.send(STREAM_END)
            }
        }
        harness(endpoints, attempts = 3, timeoutMillis = 10_000).use {
            expectThat(it.exchange(relayRequest(PROMPT_FIELDS, waitMillis = 10_000)))
                .contains("e1").contains("e2").contains("e3").endsWith(STREAM_END)
        }
        expectThat(endpoints.sumOf { it.requests.size }).isEqualTo(3)
    }

    // A successor that is silent as well was preferred to the endpoint that had the request.
    @Test
    fun `ends a successor without a sign of life in time`() {
        val overlapMillis = AtomicLong()
        val endpoints = endpoints(firstScript = silentStream()) { socket ->
            val startedMillis = System.currentTimeMillis()
            overlapMillis.set(socket.closedMillis() - startedMillis)
        }
        harness(endpoints).use {
            expectThat(it.exchange(relayRequest(PROMPT_FIELDS))).contains("data: b").endsWith(STREAM_END)
            expectThat(it.logged("request.attempt").joinToString()).contains("silent like the one before it")
        }
        expectThat(overlapMillis.get()).isGreaterThan(0).isLessThan(MAX_OVERLAP_MILLIS)
    }

    private fun silentStream(millis: Long = SILENCE_MILLIS): (Socket) -> Unit = { socket ->
        socket.send(STREAM_HEAD + event(1, "a"))
        Thread.sleep(millis)
        socket.send(event(2, "b") + STREAM_END)
    }

    /** Two endpoints: the first [first] requests get [firstScript], the others what [other] does. */
    private fun endpoints(
        first: Int = 1,
        firstScript: (Socket) -> Unit,
        other: (Socket) -> Unit,
    ): List<ScriptedEndpoint> {
        val received = AtomicInteger()
        return List(2) {
            ScriptedEndpoint { socket, _, _ ->
                if (received.incrementAndGet() <= first) firstScript(socket) else other(socket)
            }
        }
    }

    private fun harness(
        endpoints: List<ScriptedEndpoint>,
        kind: RequestKind = RequestKind.STREAM,
        attempts: Int = 2,
        timeoutMillis: Long = 6_000,
    ) = RelayHarness(
        *endpoints.toTypedArray(),
        kind = kind,
        resumable = kind == RequestKind.STREAM,
        attempts = attempts,
        timeoutMillis = timeoutMillis,
    )

    private fun lastEventId(request: String): Int =
        Regex("Last-Event-Id: (\\d+)").find(request)?.groupValues?.get(1)?.toInt() ?: 0

    /** Reads until the peer closes the connection; returns when it did. */
    private fun Socket.closedMillis(): Long {
        runCatching { while (getInputStream().read() >= 0) Unit }
        return System.currentTimeMillis()
    }

    private companion object {
        const val NOT_RUN = "HTTP/1.1 %s\r\nId: 1\r\nNot-Run: 1\r\n%sContent-Length: 0\r\n\r\n"
        const val COMPLETE = "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s1\r\nContent-Length: 2\r\n\r\nok"
        const val SILENCE_MILLIS = 3_000L

        // Longer than two attempts run beside each other.
        const val LATE_REFUSAL_MILLIS = 600L
        const val LONG_SILENCE_MILLIS = 5_000L

        // Callers abandon a stream after such a gap.
        const val CALLERS_WAIT_MILLIS = 4_000L

        // The longest time for which the platform lets two engines work on one prompt.
        const val MAX_OVERLAP_MILLIS = 400L
    }
}
