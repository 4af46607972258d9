package org.parsleymoor.entry

import org.junit.jupiter.api.Test
import org.parsleymoor.core.InstanceId
import org.parsleymoor.relay.routing.RequestKind
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.doesNotContain
import strikt.assertions.endsWith
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicReference
import kotlin.concurrent.thread

/** Guards against streams that are cut off in the middle although they could be resumed a moment later. */
class StreamResumptionTest {
    // A stream that had begun was refused like a new request when no endpoint could take it at once.
    @Test
    fun `waits for an endpoint that refuses for a moment`() {
        val refusedUntilMillis = System.currentTimeMillis() + REFUSAL_MILLIS
        val received = AtomicInteger()
        val endpoints = List(2) {
            ScriptedEndpoint { socket, _, _ ->
                when {
                    received.incrementAndGet() == 1 -> socket.begin()
                    System.currentTimeMillis() < refusedUntilMillis -> socket.send(REFUSAL)
                    else -> socket.send(STREAM_HEAD + event(2, "b") + STREAM_END)
                }
            }
        }
        harness(*endpoints.toTypedArray()).use { harness ->
            expectThat(harness.exchange(relayRequest(PROMPT_FIELDS)))
                .contains("data: a").contains("data: b").endsWith(STREAM_END)
        }
    }

    // The only endpoint of a service had reset the connection, but was still there.
    @Test
    fun `resumes at the endpoint that had broken off when there is no other`() {
        val endpoint = ScriptedEndpoint { socket, number, request ->
            if (number == 1) socket.begin() else socket.send(STREAM_HEAD + event(2, "b") + STREAM_END)
            check(number == 1 || request.contains("Last-Event-Id: 1"))
        }
        harness(endpoint).use { harness ->
            expectThat(harness.exchange(relayRequest(PROMPT_FIELDS)))
                .contains("data: a").contains("data: b").endsWith(STREAM_END)
        }
    }

    // The copy has the id of the request, so that a second run began beside the one that it was taken to refuse.
    @Test
    fun `a late copy of a refusal does not answer the stream when it is sent there again`() {
        val refused = AtomicReference<Socket>()
        val runs = AtomicInteger()
        val endpoint = ScriptedEndpoint { socket, number, _ ->
            when (number) {
                1 -> socket.begin()
                2 -> socket.send(REFUSAL).also { refused.set(socket) }
                else -> {
                    if (socket === refused.get()) socket.send(REFUSAL)
                    runs.incrementAndGet()
                    socket.send(STREAM_HEAD + event(2, "b") + STREAM_END)
                }
            }
        }
        harness(endpoint).use { harness ->
            expectThat(harness.exchange(relayRequest(PROMPT_FIELDS)))
                .contains("data: a").contains("data: b").endsWith(STREAM_END)
        }
        expectThat(runs.get()).isEqualTo(1)
    }

    // Endpoints that refuse for good must not be asked without end, nor the caller be kept after it has given up.
    @Test
    fun `cuts the stream off when no endpoint takes it until its caller stops waiting`() {
        val received = AtomicInteger()
        val endpoint = ScriptedEndpoint { socket, number, _ ->
            received.incrementAndGet()
            if (number == 1) socket.begin() else socket.send(REFUSAL)
        }
        val startMillis = System.currentTimeMillis()
        harness(endpoint).use { harness ->
            expectThat(harness.exchange(relayRequest(PROMPT_FIELDS))).contains("data: a").doesNotContain(STREAM_END)
        }
        expectThat(System.currentTimeMillis() - startMillis).isLessThan(CALLERS_WAIT_MILLIS + SLACK_MILLIS)
        expectThat(received.get()).isGreaterThan(1).isLessThan(MAX_SENDS + 1)
    }

    // An endpoint at the limit of connections was asked again and again without a pause, until no retry was left.
    @Test
    fun `waits for a connection at the limit without using up the retry budget`() {
        val begun = CountDownLatch(1)
        val lowered = CountDownLatch(1)
        val received = AtomicInteger()
        val endpoint = ScriptedEndpoint { socket, _, request ->
            when {
                request.contains("Last-Event-Id") -> socket.send(STREAM_HEAD + event(2, "b") + STREAM_END)
                received.incrementAndGet() <= HOLDERS -> socket.holdStream()
                else -> {
                    socket.send(STREAM_HEAD + event(1, "a"))
                    Thread.sleep(BEGIN_MILLIS)
                    begun.countDown()
                    lowered.await()
                    socket.reset()
                }
            }
        }
        harness(endpoint).use { harness ->
            val holders = List(HOLDERS) { thread { harness.exchange(relayRequest(PROMPT_FIELDS)) } }
            while (received.get() < HOLDERS) Thread.sleep(10)
            val answer = CompletableFuture.supplyAsync { harness.exchange(relayRequest(PROMPT_FIELDS)) }
            begun.await()
            val members = List(5) { InstanceId("m$it") }.toSet()
            harness.onEventLoop { view -> view.listMembers(members, System.currentTimeMillis()) }
            lowered.countDown()
            expectThat(answer.get()).contains("data: a").contains("data: b").endsWith(STREAM_END)
            holders.forEach { it.join() }
            expectThat(harness.logged("request.attempt").count { it.contains("limit of connections") }).isEqualTo(0)
        }
    }

    private fun Socket.holdStream() {
        send(STREAM_HEAD + event(1, "hold"))
        Thread.sleep(HOLD_MILLIS)
        send(event(2, "x") + STREAM_END)
    }

    private fun harness(vararg endpoints: ScriptedEndpoint) =
        RelayHarness(*endpoints, kind = RequestKind.STREAM, resumable = true, timeoutMillis = 6_000)

    private fun Socket.begin() {
        send(STREAM_HEAD + event(1, "a"))
        Thread.sleep(BEGIN_MILLIS)
        reset()
    }

    private companion object {
        const val REFUSAL = "HTTP/1.1 503 Full\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
        const val REFUSAL_MILLIS = 1_200L

        const val HOLDERS = 3
        const val HOLD_MILLIS = 1_000L

        // Time for the first event to be relayed.
        const val BEGIN_MILLIS = 100L

        // Callers abandon a stream after such a gap.
        const val CALLERS_WAIT_MILLIS = 4_000L
        const val SLACK_MILLIS = 1_000L
        const val MAX_SENDS = 8
    }
}
