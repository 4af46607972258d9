package org.parsleymoor.entry

import com.github.michaelbull.result.get
import io.vertx.core.Future
import io.vertx.core.buffer.Buffer
import io.vertx.core.net.NetSocket
import org.junit.jupiter.api.Test
import org.parsleymoor.core.Clock
import org.parsleymoor.entry.callers.CallerRequest
import org.parsleymoor.entry.callers.ResponseWriter
import org.parsleymoor.relay.http.HeldBody
import org.parsleymoor.relay.http.parseRequestHead
import org.parsleymoor.relay.limits.HeldBytes
import org.parsleymoor.relay.routing.RequestKind
import strikt.api.expectThat
import strikt.assertions.doesNotContain
import strikt.assertions.hasSize
import strikt.assertions.isFalse
import java.lang.reflect.Proxy

/** Guards against a request that goes on elsewhere after writing to its caller has failed. */
class CallerWriteFailureTest {
    private val written = StringBuilder()

    // The stream went on after the event whose write had failed, and looked complete without it.
    @Test
    fun `a stream whose write failed does not go on after the lost event`() {
        val endpoint = ScriptedEndpoint { socket, _, request ->
            if (request.contains("Last-Event-Id: 2")) {
                socket.send(STREAM_HEAD + event(3, "c") + STREAM_END)
            } else {
                socket.send(STREAM_HEAD + event(1, "a"))
                Thread.sleep(EVENT_PAUSE_MILLIS)
                socket.send(event(2, "b"))
                Thread.sleep(EVENT_PAUSE_MILLIS)
                socket.send(event(3, "c") + STREAM_END)
            }
        }
        RelayHarness(endpoint, kind = RequestKind.STREAM, resumable = true, timeoutMillis = 6_000).use { harness ->
            val writer = writer { text -> check(!text.contains("data: b")) { "simulated" } }
            harness.handle(writer, relayRequest(PROMPT_FIELDS))
            expectThat(writer.complete).isFalse()
            expectThat(written.toString()).doesNotContain("data: c").doesNotContain(STREAM_END)
        }
    }

    // The request ran a second time, and the second answer could not be written.
    @Test
    fun `a request whose answer was being written is not sent again`() {
        val endpoints = List(2) {
            ScriptedEndpoint { socket, _, _ ->
                socket.send("HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s1\r\nContent-Length: 2\r\n\r\nok")
            }
        }
        RelayHarness(*endpoints.toTypedArray(), kind = RequestKind.IDEMPOTENT).use { harness ->
            harness.handle(writer { error("simulated") }, relayRequest())
            expectThat(endpoints.flatMap { it.requests }).hasSize(1)
        }
    }

    private fun RelayHarness.handle(writer: ResponseWriter, request: String) {
        val head = checkNotNull(parseRequestHead(request.toByteArray()).get())
        onEventLoop {
            handler.handle(
                CallerRequest(head, HeldBody(HeldBytes(1_000)), Clock.System.nowMillis()),
                writer
            )
        }
    }

    /** A writer to a caller's socket that takes what passes [check]. */
    private fun writer(check: (String) -> Unit): ResponseWriter {
        val socket = Proxy.newProxyInstance(
            javaClass.classLoader,
            arrayOf(NetSocket::class.java)
        ) { _, method, arguments ->
            when (method.name) {
                "write" -> {
                    val text = (arguments[0] as Buffer).toString()
                    check(text)
                    written.append(text)
                    Future.succeededFuture<Void>()
                }
                "writeQueueFull" -> false
                else -> null
            }
        } as NetSocket
        return ResponseWriter(socket, keepAliveAllowed = true, chunked = true, stopping = { false })
    }

    private companion object {
        const val EVENT_PAUSE_MILLIS = 200L
    }
}
