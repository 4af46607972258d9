package org.parsleymoor.entry

import org.junit.jupiter.api.Test
import org.parsleymoor.entry.RelayHarness.Companion.GRACE_MILLIS
import org.parsleymoor.relay.routing.RequestKind
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.doesNotContain
import strikt.assertions.endsWith
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isLessThan
import strikt.assertions.startsWith
import java.io.IOException
import java.net.Socket

/**
 * Requests that arrive while an instance stops. Guards against requests that are passed on although the time left does
 * not cover them and are then cut off without an answer.
 */
class PlannedStopTest {
    // The request was passed on shortly before the exit and cut off by it, so that its caller did not know its outcome.
    @Test
    fun `refuses a request that could outlast the grace period before it is passed on`() {
        for (kind in RequestKind.entries) {
            val endpoint = ScriptedEndpoint { _, _, _ -> Thread.sleep(10_000) }
            RelayHarness(endpoint, kind = kind, timeoutMillis = 3_000).use { harness ->
                val caller = harness.caller()
                caller.send(HEAD)
                harness.stop()
                Thread.sleep(GRACE_MILLIS * 7 / 10)
                caller.send(BODY)
                expectThat(caller.readToEnd()).startsWith("HTTP/1.1 503 ").contains("Retry-After: 0.")
                    .contains("Connection: close")
            }
            expectThat(endpoint.requests).isEmpty()
        }
    }

    // A closed connection tells the caller neither that the request may have run nor that nothing more will come.
    @Test
    fun `answers a request that is still at its endpoint before the process exits`() {
        for (kind in RequestKind.entries) {
            val endpoint = ScriptedEndpoint { _, _, _ -> Thread.sleep(10_000) }
            RelayHarness(endpoint, kind = kind, timeoutMillis = 30_000).use { harness ->
                val caller = harness.caller()
                caller.send(HEAD + BODY)
                Thread.sleep(100)
                harness.stop()
                expectThat(caller.readToEnd()).startsWith("HTTP/1.1 502 ").contains("Connection: close")
            }
            expectThat(endpoint.requests).hasSize(1)
        }
    }

    // The first endpoint breaks off when the time left is too short for another attempt.
    @Test
    fun `does not repeat a request that could outlast the grace period`() {
        val endpoints = List(2) {
            ScriptedEndpoint { socket, _, _ ->
                Thread.sleep(BREAK_MILLIS)
                socket.reset()
            }
        }
        RelayHarness(*endpoints.toTypedArray(), kind = RequestKind.IDEMPOTENT, timeoutMillis = 30_000).use { harness ->
            val caller = harness.caller()
            caller.send(HEAD + BODY)
            Thread.sleep(100)
            harness.stop()
            expectThat(caller.readToEnd()).startsWith("HTTP/1.1 502 ")
        }
        expectThat(endpoints.flatMap { it.requests }).hasSize(1)
    }

    // Refusing every request whose timeout is longer than the grace period would refuse all streams of a stop.
    @Test
    fun `serves a request with a long timeout early in the grace period`() {
        val endpoint = ScriptedEndpoint { socket, _, _ ->
            Thread.sleep(200)
            socket.send(ANSWER)
        }
        RelayHarness(endpoint, timeoutMillis = 30_000).use { harness ->
            val caller = harness.caller()
            caller.send(HEAD)
            harness.stop()
            Thread.sleep(100)
            caller.send(BODY)
            expectThat(caller.readToEnd()).startsWith("HTTP/1.1 200 ").endsWith("ok")
        }
    }

    @Test
    fun `serves a request late in the grace period if its deadline leaves time for the answer`() {
        val endpoint = ScriptedEndpoint { socket, _, _ ->
            Thread.sleep(200)
            socket.send(ANSWER)
        }
        RelayHarness(endpoint, timeoutMillis = 30_000).use { harness ->
            val caller = harness.caller()
            caller.send(HEAD.replace("Id: 1", "Id: 1\r\nWait: 800"))
            harness.stop()
            Thread.sleep(GRACE_MILLIS * 7 / 10)
            caller.send(BODY)
            expectThat(caller.readToEnd()).startsWith("HTTP/1.1 200 ").endsWith("ok")
        }
    }

    @Test
    fun `cuts off a stream that has begun, so that it does not look complete`() {
        val endpoint = ScriptedEndpoint { socket, _, _ ->
            socket.send(STREAM_HEAD + "id: 1\ndata: a\n\n")
            Thread.sleep(10_000)
        }
        RelayHarness(endpoint, kind = RequestKind.STREAM, timeoutMillis = 30_000).use { harness ->
            val caller = harness.caller()
            caller.send(HEAD + BODY)
            Thread.sleep(100)
            harness.stop()
            val startNanos = System.nanoTime()
            expectThat(caller.readToEnd()).contains("data: a").doesNotContain("0\r\n\r\n")
            expectThat((System.nanoTime() - startNanos) / 1_000_000).isLessThan(GRACE_MILLIS)
        }
    }

    private fun Socket.readToEnd(): String = use {
        soTimeout = 10_000
        val text = StringBuilder()
        try {
            while (true) text.append(getInputStream().read().takeIf { it >= 0 }?.toChar() ?: break)
        } catch (reset: IOException) {
            text.append(reset.message)
        }
        text.toString()
    }

    private companion object {
        const val HEAD =
            "POST /r/x HTTP/1.1\r\nHost: h\r\nId: 1\r\nAuthorization: Key secret\r\nContent-Length: 4\r\n\r\n"
        const val BODY = "body"
        const val BREAK_MILLIS = 3_500L
        const val ANSWER = "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s1\r\nContent-Length: 2\r\n\r\nok"
        const val STREAM_HEAD =
            "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s1\r\nContent-Type: text/event-stream\r\n\r\n"
    }
}
