package org.parsleymoor.entry

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.endsWith
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.startsWith
import java.net.Socket

/** Bodies of callers that take more room together than an instance has. Guards against memory use without a bound. */
class LargeRequestsTest {
    private val endpoint = ScriptedEndpoint { socket, _, _ ->
        socket.send("HTTP/1.1 201 Made\r\nId: 1\r\nSeal: s1\r\nContent-Length: 2\r\n\r\nok")
    }

    @Test
    fun `refuses a body of a stated length at its head when there is no room for it`() = withShortRoom { harness ->
        val holders = holdRoom(harness)
        val response = harness.exchange(head("Content-Length: 9000"))
        expectThat(response).startsWith("HTTP/1.1 503 ").contains("Retry-After: ")
        expectThat(harness.logged("request.refused")).hasSize(1).all { contains("no room") }
        holders.forEach { it.close() }
    }

    @Test
    fun `refuses a chunked body when it finds no more room, and reads what still arrives`() = withShortRoom { harness ->
        val holders = holdRoom(harness)
        val response = harness.caller().use { socket ->
            socket.send(head("Transfer-Encoding: chunked") + "2328\r\n" + "x".repeat(9_000) + "\r\n")
            Thread.sleep(50)
            runCatching { socket.send("0\r\n\r\n") }
            String(socket.getInputStream().readAllBytes())
        }
        expectThat(response).startsWith("HTTP/1.1 503 ").contains("Retry-After: ")
        holders.forEach { it.close() }
    }

    @Test
    fun `serves a small request while large ones hold the room`() = withShortRoom { harness ->
        val holders = holdRoom(harness)
        expectThat(harness.exchange(head("Content-Length: 2") + "hi")).endsWith("ok")
        holders.forEach { it.close() }
    }

    // A body that is not given back when its caller leaves would take the room for ever.
    @Test
    fun `gives room back when callers leave and when requests end`() = withShortRoom { harness ->
        val before = harness.onEventLoop { harness.held.totalBytes }
        holdRoom(harness).forEach { it.close() }
        val deadline = System.nanoTime() + 2_000_000_000
        while (harness.onEventLoop { harness.held.totalBytes } > before && System.nanoTime() < deadline) Thread.sleep(
            10
        )
        repeat(5) { expectThat(harness.exchange(head("Content-Length: 8000") + "x".repeat(8_000))).endsWith("ok") }
        expectThat(harness.onEventLoop { harness.held.totalBytes }).isEqualTo(before)
    }

    private fun withShortRoom(test: (RelayHarness) -> Unit) =
        endpoint.use {
            RelayHarness(it).use { harness ->
                harness.leaveRoom(ROOM_BYTES)
                test(harness)
            }
        }

    /** Callers that have sent most of a body and then nothing more. */
    private fun holdRoom(harness: RelayHarness): List<Socket> {
        val sockets = List(2) { harness.caller() }
        sockets.forEach { it.send(head("Content-Length: 9000") + "x".repeat(8_000)) }
        Thread.sleep(300)
        return sockets
    }

    private fun head(field: String) =
        "POST /r/x HTTP/1.1\r\nHost: h\r\nId: 1\r\nAuthorization: Key secret\r\nConnection: close\r\n$field\r\n\r\n"

    private companion object {
        const val ROOM_BYTES = 30_000L
    }
}
