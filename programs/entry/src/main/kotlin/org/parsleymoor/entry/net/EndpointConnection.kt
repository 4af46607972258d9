package org.parsleymoor.entry.net

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.get
import com.github.michaelbull.result.map
import io.vertx.core.buffer.Buffer
import io.vertx.core.net.NetSocket
import org.parsleymoor.relay.fleet.SocketAddress
import org.parsleymoor.relay.http.BodyDecoder
import org.parsleymoor.relay.http.BodyFraming
import org.parsleymoor.relay.http.BodyProgress
import org.parsleymoor.relay.http.MessageFailure
import org.parsleymoor.relay.http.ResponseHead
import org.parsleymoor.relay.http.framing
import org.parsleymoor.relay.http.parseResponseHead
import java.io.ByteArrayOutputStream

/** A response whose body is read from its connection. */
internal class IncomingResponse(val head: ResponseHead, val framing: BodyFraming) {
    val decoder = BodyDecoder(framing)
}

/** One connection to [address]; it carries one request at a time. Confined to the event loop. */
internal class EndpointConnection(val address: SocketAddress, private val socket: NetSocket) {
    val input = SocketInput(socket)

    /** Number of requests sent on this connection. */
    var requests = 0
        private set

    /** Until when the other side keeps an idle connection open, as far as is known. */
    var idleUntilMillis: Long = Long.MAX_VALUE

    /** Whether no further request may be sent, because the framing is in doubt or an end was announced. */
    var spoiled = false

    /** Whether responses on this connection have named the request that they answer. */
    var identified = false

    /** Whether another request can be sent. */
    val reusable: Boolean get() = !spoiled && input.end == null && input.queue.size == 0

    /** Sends a whole request. */
    fun send(request: Buffer) {
        requests++
        socket.write(request)
    }

    /** Suspends until the head of the next final response has arrived. */
    suspend fun readResponse(method: String): Result<IncomingResponse, MessageFailure> {
        repeat(INTERIM_LIMIT) {
            val read = input.readHead(HEAD_LIMIT_BYTES)
                .andThen { if (it == null) Err(MessageFailure.ENDED_EARLY) else parseResponseHead(it) }
                .andThen { head -> head.framing(method).andThen { Ok(IncomingResponse(head, it)) } }
            if (read.get()?.head?.isInterim != true) return read
        }
        return Err(MessageFailure.TOO_MANY_RESPONSES)
    }

    /** Suspends until the whole body of [response] has arrived; a body over [BODY_LIMIT_BYTES] is a fault. */
    suspend fun readBody(response: IncomingResponse): Result<ByteArray, MessageFailure> {
        val body = ByteArrayOutputStream()
        return readBody(response) { body.writeBytes(it) }.map { body.toByteArray() }
    }

    /** Reads the body of [response] to its end and drops it, within the same limit. */
    suspend fun dropBody(response: IncomingResponse): Result<Unit, MessageFailure> = readBody(response) {}

    private suspend fun readBody(response: IncomingResponse, take: (ByteArray) -> Unit): Result<Unit, MessageFailure> {
        var bytes = (response.framing as? BodyFraming.Length)?.bytes?.takeIf { it > BODY_LIMIT_BYTES } ?: 0
        while (response.decoder.progress == BodyProgress.INCOMPLETE && bytes <= BODY_LIMIT_BYTES) {
            val part = readPart(response)
            bytes += part.size
            take(part)
        }
        return when {
            bytes > BODY_LIMIT_BYTES -> Err(MessageFailure.BODY_TOO_LARGE)
            response.decoder.progress == BodyProgress.COMPLETE -> Ok(Unit)
            else -> Err(MessageFailure.ENDED_EARLY)
        }
    }

    /** Suspends until more of the body of [response] has arrived; returns it, empty only at the end of the body. */
    suspend fun readPart(response: IncomingResponse): ByteArray {
        while (true) {
            val part = response.decoder.decode(input.queue)
            if (part.isNotEmpty() || response.decoder.progress != BodyProgress.INCOMPLETE) return part
            val end = input.end
            if (end == null) input.awaitMore() else response.decoder.endOfInput(end == InputEnd.ORDERLY)
        }
    }

    /** Closes the connection; the endpoint drops what runs on it. */
    fun close() {
        spoiled = true
        socket.close()
    }

    private companion object {
        const val HEAD_LIMIT_BYTES = 32_768

        // Four times the largest object of the object store. Answers of endpoints are hundreds of times smaller.
        const val BODY_LIMIT_BYTES = 4_194_304L

        // An endpoint may say a few times that it is still at work.
        const val INTERIM_LIMIT = 16
    }
}
