package org.parsleymoor.entry

import org.junit.jupiter.api.Test
import org.parsleymoor.entry.callers.CloseReason
import org.parsleymoor.entry.callers.ConnectionClosure
import org.parsleymoor.relay.routing.RequestKind
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.util.concurrent.TimeUnit

/** Guards against closed connections whose log does not say whether a caller was left without an answer. */
class ConnectionClosureTest {
    @Test
    fun `reports a connection that the caller closes`() {
        val closure = closure { harness -> harness.caller().close() }
        expectThat(closure.reason).isEqualTo(CloseReason.CALLER_CLOSED)
        expectThat(closure.isSuspicious).isFalse()
    }

    @Test
    fun `reports a connection that closes after its answer`() {
        val closure = closure { harness -> harness.exchange(REQUEST) }
        expectThat(closure.reason).isEqualTo(CloseReason.ANSWERED)
        expectThat(closure.requests).isEqualTo(1)
    }

    @Test
    fun `reports a connection that closes after a malformed request`() {
        val closure = closure { harness -> harness.exchange("nonsense\r\n\r\n") }
        expectThat(closure.reason).isEqualTo(CloseReason.MALFORMED)
    }

    // A stream that breaks off after its first event ends with its connection and without a complete answer.
    @Test
    fun `reports a request without a complete answer`() {
        val endpoint = ScriptedEndpoint { socket, _, _ ->
            socket.send("HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\nContent-Type: text/event-stream\r\n")
            socket.send("Transfer-Encoding: chunked\r\n\r\nd\r\nid: 1\ndata:a\n\r\n1\r\n\n\r\n")
            socket.close()
        }
        val closure = closure(endpoint, kind = RequestKind.STREAM) { harness -> harness.exchange(REQUEST) }
        expectThat(closure.reason).isEqualTo(CloseReason.UNFINISHED)
        expectThat(closure.isSuspicious).isTrue()
    }

    private fun closure(
        endpoint: ScriptedEndpoint = ScriptedEndpoint { socket, _, _ ->
            socket.send("HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\nContent-Length: 0\r\n\r\n")
        },
        kind: RequestKind = RequestKind.NON_IDEMPOTENT,
        script: (RelayHarness) -> Unit,
    ): ConnectionClosure = RelayHarness(endpoint, kind = kind).use { harness ->
        script(harness)
        checkNotNull(harness.closures.poll(2, TimeUnit.SECONDS)) { "no connection was closed" }
    }

    private companion object {
        const val REQUEST = "POST /r/x HTTP/1.1\r\nHost: h\r\nId: 1\r\nWait: 2000\r\nAuthorization: Key secret\r\n" +
            "Connection: close\r\nContent-Length: 0\r\n\r\n"
    }
}
