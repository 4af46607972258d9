package org.parsleymoor.entry

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.extension.ExtendWith
import org.parsleymoor.relay.routing.RequestKind
import org.parsleymoor.testing.KnownFailures
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.net.Socket
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread

/**
 * Many callers whose endpoint sends bytes without end, in a process with the heap of the deploy file. Guards against
 * bounds that hold for each response but not for all together, so that the process runs out of memory and callers are
 * left without an answer.
 */
@ExtendWith(KnownFailures::class)
class EndlessBytesTest {
    @Test
    fun `a body without length`() = survives { it.sendForever(FILLER) }

    @Test
    fun `a body of a stated length that is just within the limit`() =
        survives(fields = FULL_LENGTH) { it.sendForever(FILLER) }

    @Test
    fun `a chunked body`() = survives(fields = CHUNKED) { it.sendForever(chunk(FILLER)) }

    @Test
    fun `a failure with a body without length`() = survives(status = "500 No") { it.sendForever(FILLER) }

    @Test
    fun `failures that are kept while another endpoint is tried`() =
        survives(kind = RequestKind.IDEMPOTENT, endpoints = 2, status = "500 No", fields = FULL_LENGTH) {
            it.sendForever(FILLER)
        }

    @Test
    fun `a refusal with a body without length`() =
        survives(status = "503 No", fields = "Not-Run: 1\r\n") { it.sendForever(FILLER) }

    @Test
    fun `a stream of one event`() = survives(kind = RequestKind.STREAM, fields = EVENTS) {
        it.send(chunk("id: 1\ndata: a\n\nid: 2\ndata: "))
        it.sendForever(chunk(FILLER))
    }

    @Test
    fun `a stream of events that were relayed already`() = survives(kind = RequestKind.STREAM, fields = EVENTS) {
        it.sendForever(chunk("id: 1\ndata: a\n\n".repeat(500)))
    }

    @Test
    fun `a stream of comments`() = survives(kind = RequestKind.STREAM, fields = EVENTS) {
        it.sendForever(chunk(": a\n\n".repeat(1_000)))
    }

    @Test
    fun `a stream of empty lines`() = survives(kind = RequestKind.STREAM, fields = EVENTS) {
        it.sendForever(chunk("\n".repeat(8_192)))
    }

    @Test
    fun `a stream of empty lines after an event`() = survives(kind = RequestKind.STREAM, fields = EVENTS) {
        it.send(chunk("id: 1\ndata: a\n\n"))
        it.sendForever(chunk("\n".repeat(8_192)))
    }

    @Test
    fun `a stream of the smallest events`() = survives(kind = RequestKind.STREAM, fields = EVENTS) {
        it.sendForever(chunk("data:\n\n".repeat(1_000)))
    }

    /**
     * Asserts that each of [CALLERS] callers gets an answer or a refusal, and that another service is served all the
     * time, when [endpoints] endpoints send a sealed head with [status] and [fields] and then run [script].
     */
    private fun survives(
        kind: RequestKind = RequestKind.NON_IDEMPOTENT,
        endpoints: Int = 1,
        status: String = "200 OK",
        fields: String = "",
        script: (Socket) -> Unit,
    ) {
        val faulty = List(endpoints) {
            ScriptedEndpoint { socket, _, request ->
                socket.send("HTTP/1.1 $status\r\nId: ${idOf(request)}\r\nSeal: s1\r\n$fields\r\n")
                script(socket)
            }
        }
        val small = ScriptedEndpoint { socket, _, request ->
            socket.send("HTTP/1.1 200 OK\r\nId: ${idOf(request)}\r\nSeal: s1\r\nContent-Length: 2\r\n\r\nok")
        }
        RelayProcess(kind, faulty, small).use { process ->
            val others = SmallRequests(process)
            val answered = callAtOnce(process)
            val served = others.finish()
            val logged = process.finish()
            expectThat(logged.lines().count { "OutOfMemoryError" in it }).describedAs("out of memory").isEqualTo(0)
            expectThat(answered.count { it.startsWith("HTTP/1.1 ") }).describedAs("answered").isEqualTo(CALLERS)
            expectThat(served.size).isGreaterThan(MIN_SMALL_REQUESTS)
            expectThat(served.count { it != "200" }).describedAs("small requests not served").isEqualTo(0)
        }
        (faulty + small).forEach { it.close() }
    }

    /** Sends a request from each caller at once; returns the start of what each received. */
    private fun callAtOnce(process: RelayProcess): List<String> {
        val pool = Executors.newFixedThreadPool(CALLERS)
        val calls = List(CALLERS) { Callable { call(process.caller(), "/r/", "c$it") } }
        return pool.invokeAll(calls).map { it.get() }.also { pool.shutdown() }
    }

    /** Requests to another service, one after the other, from the start until [finish]. */
    private class SmallRequests(process: RelayProcess) {
        private val ended = AtomicBoolean()
        private val statuses = ArrayList<String>()
        private val sender = thread {
            do {
                val answer = call(process.caller(), "/small/", "small${statuses.size}")
                statuses += answer.split(' ').getOrElse(1) { "none" }
                Thread.sleep(INTERVAL_MILLIS)
            } while (!ended.get() || statuses.size <= MIN_SMALL_REQUESTS)
        }

        /** Returns the status of each request, `none` without an answer. */
        fun finish(): List<String> {
            ended.set(true)
            sender.join()
            return statuses
        }
    }

    private companion object {
        const val CALLERS = 100
        const val MIN_SMALL_REQUESTS = 50
        const val INTERVAL_MILLIS = 10L
        const val PREFIX_BYTES = 64
        val FILLER = "x".repeat(8_192)
        const val CHUNKED = "Transfer-Encoding: chunked\r\n"
        const val FULL_LENGTH = "Content-Length: 4194304\r\n"
        const val EVENTS = "Content-Type: text/event-stream\r\n$CHUNKED"

        fun chunk(text: String) = "${text.length.toString(16)}\r\n$text\r\n"

        fun idOf(request: String) = Regex("\r\nId: (\\S+)").find(request)?.groupValues?.get(1).orEmpty()

        /** Returns the start of the response, after everything has been read; empty if there was none. */
        fun call(socket: Socket, path: String, id: String): String = socket.use {
            val prefix = runCatching {
                it.send(
                    "POST ${path}x HTTP/1.1\r\nHost: h\r\nId: $id\r\nWait: 4000\r\nAuthorization: Key secret\r\n" +
                        "Connection: close\r\nContent-Length: 0\r\n\r\n"
                )
                String(it.getInputStream().readNBytes(PREFIX_BYTES))
            }.getOrDefault("")
            runCatching { it.getInputStream().skip(Long.MAX_VALUE) }
            prefix
        }
    }
}
