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
import strikt.assertions.isTrue
import strikt.assertions.startsWith
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** Endpoints that announce in a response that they leave. Guards against requests that reach them after that. */
class LeavingEndpointTest {
    // The connection is kept open, so that only the announcement keeps further requests away.
    @ParameterizedTest
    @ValueSource(
        strings = [
            "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s1\r\nLeaving: 1\r\nContent-Length: 2\r\n\r\nok",
            "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s1\r\nLeaving: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" +
                "\r\n",
            "HTTP/1.1 404 Not Found\r\nId: 1\r\nSeal: s1\r\nLeaving: 1\r\nContent-Length: 2\r\n\r\nno",
            "HTTP/1.1 500 Oops\r\nId: 1\r\nSeal: s1\r\nLeaving: 1\r\nContent-Length: 2\r\n\r\nno",
            "HTTP/1.1 503 Busy\r\nId: 1\r\nNot-Run: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 503 Busy\r\nId: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 421 Other\r\nId: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 200 OK\r\nId: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n",
        ],
    )
    fun `no request reaches an endpoint after a response in which it leaves`(response: String) {
        for (kind in RequestKind.entries) {
            ScriptedEndpoint { socket, _, _ -> socket.send(response) }.use { leaving ->
                RelayHarness(leaving, kind = kind).use { harness ->
                    harness.exchange(request())
                    repeat(
                        5
                    ) { expectThat(harness.exchange(request())).startsWith("HTTP/1.1 503 ").contains("Retry-After") }
                }
                expectThat(leaving.requests.size).isEqualTo(1)
            }
        }
    }

    // An idle connection would keep a place of the endpoint that other instances need for its last requests.
    @Test
    fun `the connection to an endpoint that leaves is closed when its response is complete`() {
        val leaving = ScriptedEndpoint { socket, _, _ -> socket.send(OK_LEAVING) }
        RelayHarness(leaving).use { harness ->
            expectThat(harness.exchange(request())).endsWith("ok")
            expectThat(leaving.connectionEnded.await(1, TimeUnit.SECONDS)).isTrue()
        }
    }

    // A stream lasts for seconds; read at its end, the announcement would come too late.
    @Test
    fun `no request reaches an endpoint while its stream whose head said that it leaves goes on`() {
        val end = CountDownLatch(1)
        val leaving = ScriptedEndpoint { socket, _, _ ->
            socket.send(STREAM_HEAD + chunk("id: 1\ndata: a\n\n"))
            end.await(5, TimeUnit.SECONDS)
            socket.send(chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n")
        }
        RelayHarness(leaving, kind = RequestKind.STREAM).use { harness ->
            harness.caller().use { caller ->
                caller.send(request())
                while (!String(caller.getInputStream().readNBytes(1)).contains("a")) Unit
                repeat(5) { expectThat(harness.exchange(request())).startsWith("HTTP/1.1 503 ") }
                end.countDown()
                expectThat(String(caller.getInputStream().readAllBytes())).contains("data: b").endsWith("0\r\n\r\n")
            }
        }
        expectThat(leaving.requests.size).isEqualTo(1)
    }

    // The stream would be resumed at the endpoint that leaves.
    @Test
    fun `a stream is not resumed at an endpoint that leaves`() {
        val broken = ScriptedEndpoint { socket, _, _ ->
            socket.send(STREAM_HEAD + chunk("id: 1\ndata: a\n\n"))
            socket.close()
        }
        val leaving = ScriptedEndpoint { socket, _, _ -> socket.send(OK_LEAVING) }
        RelayHarness(leaving, broken, kind = RequestKind.STREAM, resumable = true, attempts = 3).use { harness ->
            expectThat(harness.exchange(request())).endsWith("ok")
            expectThat(harness.exchange(request())).contains("data: a").doesNotContain("0\r\n\r\n")
        }
        expectThat(leaving.requests.size).isEqualTo(1)
    }

    @Test
    fun `requests are served by the endpoints that stay, also those that the leaving one refuses`() {
        val leaving = ScriptedEndpoint { socket, _, _ ->
            socket.send("HTTP/1.1 503 Busy\r\nId: 1\r\nNot-Run: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n")
        }
        val staying = ScriptedEndpoint { socket, _, _ ->
            socket.send("HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s1\r\nContent-Length: 2\r\n\r\nok")
        }
        RelayHarness(leaving, staying).use { harness ->
            repeat(8) { expectThat(harness.exchange(request())).startsWith("HTTP/1.1 200 ").endsWith("ok") }
        }
        expectThat(leaving.requests.size).isEqualTo(1)
    }

    // The response is read to its end in the background, because the request may not be aborted.
    @Test
    fun `the response to a request whose caller has disconnected says that its endpoint leaves`() {
        val end = CountDownLatch(1)
        val received = CountDownLatch(1)
        val leaving = ScriptedEndpoint { socket, _, _ ->
            received.countDown()
            end.await(5, TimeUnit.SECONDS)
            socket.send(OK_LEAVING)
        }
        RelayHarness(leaving).use { harness ->
            harness.caller().use { caller ->
                caller.send(request())
                received.await(5, TimeUnit.SECONDS)
            }
            thread {
                Thread.sleep(200)
                end.countDown()
            }.join()
            Thread.sleep(200)
            expectThat(harness.exchange(request())).startsWith("HTTP/1.1 503 ")
        }
        expectThat(leaving.requests.size).isEqualTo(1)
    }

    // It may come from an earlier start of the endpoint, or be a copy.
    @Test
    fun `a response to another request that is skipped does not say that its endpoint leaves`() {
        val endpoint = ScriptedEndpoint { socket, _, _ ->
            socket.send("HTTP/1.1 200 OK\r\nId: 9\r\nSeal: s9\r\nLeaving: 1\r\nContent-Length: 2\r\n\r\nno")
            socket.send("HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s1\r\nContent-Length: 2\r\n\r\nok")
        }
        RelayHarness(endpoint).use { harness ->
            repeat(3) { expectThat(harness.exchange(request())).startsWith("HTTP/1.1 200 ").endsWith("ok") }
        }
    }

    private fun request() =
        "POST /r/x HTTP/1.1\r\nHost: h\r\nId: 1\r\nWait: 2000\r\nAuthorization: Key secret\r\nConnection: close\r\n" +
            "Content-Length: 0\r\n\r\n"

    private fun chunk(text: String) = "${text.length.toString(16)}\r\n$text\r\n"

    private companion object {
        const val OK_LEAVING = "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s1\r\nLeaving: 1\r\nContent-Length: 2\r\n\r\nok"
        const val STREAM_HEAD = "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s1\r\nLeaving: 1\r\n" +
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    }
}
