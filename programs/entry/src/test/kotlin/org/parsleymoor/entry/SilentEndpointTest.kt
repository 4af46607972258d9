package org.parsleymoor.entry

import org.junit.jupiter.api.Test
import org.parsleymoor.relay.routing.RequestKind
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.endsWith
import strikt.assertions.isEqualTo

/** Guards against answers that are given up because a sound endpoint is silent and no other one can take over. */
class SilentEndpointTest {
    @Test
    fun `waits for a silent stream when no other endpoint can go on with it`() {
        RelayHarness(pausingStream(), kind = RequestKind.STREAM, resumable = true, timeoutMillis = 6_000).use {
            expectThat(it.exchange(relayRequest())).contains("data: b").endsWith(STREAM_END)
        }
    }

    @Test
    fun `waits for a silent stream when its attempts are used up`() {
        val endpoints = List(2) { pausingStream() }
        val harness = RelayHarness(
            *endpoints.toTypedArray(),
            kind = RequestKind.STREAM,
            resumable = true,
            attempts = 1,
            timeoutMillis = 6_000,
        )
        harness.use { expectThat(it.exchange(relayRequest())).contains("data: b").endsWith(STREAM_END) }
        expectThat(endpoints.sumOf { it.requests.size }).isEqualTo(1)
    }

    @Test
    fun `waits for a silent stream when the retry budget is used up`() {
        val endpoints = List(2) { pausingStream() }
        val harness = RelayHarness(
            *endpoints.toTypedArray(),
            kind = RequestKind.STREAM,
            resumable = true,
            timeoutMillis = 6_000,
        )
        harness.useUpRetryBudget()
        harness.use { expectThat(it.exchange(relayRequest())).contains("data: b").endsWith(STREAM_END) }
        expectThat(endpoints.sumOf { it.requests.size }).isEqualTo(1)
    }

    @Test
    fun `waits for the answer of a silent engine when no other engine can take the prompt`() {
        RelayHarness(pausingAnswer(), kind = RequestKind.IDEMPOTENT, timeoutMillis = 6_000).use {
            expectThat(it.exchange(relayRequest(PROMPT_FIELDS))).endsWith("ok")
        }
    }

    @Test
    fun `waits for the answer of a silent endpoint when there is no other`() {
        RelayHarness(pausingAnswer(), kind = RequestKind.IDEMPOTENT, timeoutMillis = 6_000).use {
            expectThat(it.exchange(relayRequest())).endsWith("ok")
        }
    }

    // A stream that was given up ended when no connection to the other endpoint could be opened.
    @Test
    fun `waits for silent streams when the other endpoint has no connections left`() {
        val endpoints = List(2) { pausingStream() }
        val harness = RelayHarness(
            *endpoints.toTypedArray(),
            kind = RequestKind.STREAM,
            resumable = true,
            timeoutMillis = 6_000,
        )
        harness.use {
            harness.limitConnections(2)
            val callers = List(4) { harness.caller().also { it.send(relayRequest()) }.also { Thread.sleep(50) } }
            callers.forEach { socket ->
                expectThat(String(socket.getInputStream().readAllBytes())).contains("data: b").endsWith(STREAM_END)
            }
        }
    }

    // A sound endpoint whose caller did not read for a while lost the stream to another endpoint.
    @Test
    fun `does not take the pause of a caller for silence of the endpoint`() {
        val data = "x".repeat(20_000)
        val endpoints = List(2) {
            ScriptedEndpoint { socket, _, _ ->
                socket.send(STREAM_HEAD)
                repeat(600) { number -> socket.send(event(number + 1, data)) }
                socket.send(STREAM_END)
            }
        }
        val harness = RelayHarness(
            *endpoints.toTypedArray(),
            kind = RequestKind.STREAM,
            resumable = true,
            timeoutMillis = 10_000,
        )
        harness.use {
            harness.caller().use { socket ->
                socket.send(relayRequest(waitMillis = 10_000))
                Thread.sleep(SILENCE_MILLIS)
                expectThat(String(socket.getInputStream().readAllBytes())).contains("id: 600\n").endsWith(STREAM_END)
            }
        }
        expectThat(endpoints.sumOf { it.requests.size }).isEqualTo(1)
    }

    private fun pausingStream() = ScriptedEndpoint { socket, _, _ ->
        socket.send(STREAM_HEAD + event(1, "a"))
        Thread.sleep(SILENCE_MILLIS)
        socket.send(event(2, "b") + STREAM_END)
    }

    private fun pausingAnswer() = ScriptedEndpoint { socket, _, _ ->
        Thread.sleep(SILENCE_MILLIS)
        socket.send("HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s1\r\nContent-Length: 2\r\n\r\nok")
    }

    private companion object {
        // Longer than any time after which a silent endpoint is given up for another one.
        const val SILENCE_MILLIS = 3_000L
    }
}
