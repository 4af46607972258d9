package org.parsleymoor.entry.net

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.get
import io.vertx.core.buffer.Buffer
import io.vertx.core.net.NetSocket
import org.parsleymoor.relay.fleet.SocketAddress
import org.parsleymoor.relay.http.BodyDecoder
import org.parsleymoor.relay.http.BodyFraming
import org.parsleymoor.relay.http.BodyProgress
import org.parsleymoor.relay.http.HeldBody
import org.parsleymoor.relay.http.MessageFailure
import org.parsleymoor.relay.http.ResponseHead
import org.parsleymoor.relay.http.framing
import org.parsleymoor.relay.http.parseResponseHead

/** A response whose head has arrived and whose body is still read from its connection. */
internal class IncomingResponse(val head: ResponseHead, val framing: BodyFraming) {
    val decoder = BodyDecoder(framing)
}

/** A connection to [address] that carries one request at a time. Confined to the event loop. */
internal class EndpointConnection(val address: SocketAddress, private val socket: NetSocket) {
    val input = SocketInput(socket)

    /** Number of requests sent on this connection. */
    var requests = 0
        private set

    /** Until when the connection may be reused while it is idle. */
    var idleUntilMillis: Long = Long.MAX_VALUE

    /**
     * Whether no further request may be sent, because the framing is in doubt or the peer is closing the connection.
     */
    var noNewRequests = false

    /** What identifies the caller's request that was sent last, or null before the first. */
    var lastRequest: Any? = null
        private set

    /** Whether responses on this connection have carried the id of their request. */
    var echoesRequestIds = false

    /** Whether another request can be sent. */
    val reusable: Boolean get() = !noNewRequests && input.end == null && input.queue.size == 0

    /** Sends a complete request. */
    fun send(request: Buffer) {
        requests++
        input.send(request)
    }

    /** Sends a complete request of [head] and [body], which [request] identifies. */
    fun send(request: Any, head: ByteArray, body: HeldBody) {
        requests++
        lastRequest = request
        body.forEachPiece(head) { input.send(it) }
    }

    /** Suspends until the head of the next response has arrived, skipping interim (1xx) responses. */
    suspend fun readResponse(method: String): Result<IncomingResponse, MessageFailure> {
        repeat(MAX_INTERIM_RESPONSES) {
            val read = input.readHead(MAX_HEAD_BYTES)
                .andThen { if (it == null) Err(MessageFailure.ENDED_EARLY) else parseResponseHead(it) }
                .andThen { head -> head.framing(method).andThen { Ok(IncomingResponse(head, it)) } }
            if (read.get()?.head?.isInterim != true) return read
        }
        return Err(MessageFailure.TOO_MANY_RESPONSES)
    }

    /**
     * Suspends until the complete body of [response] has been added to [body]. Fails if it has more than [limitBytes]
     * or the account of [body] has no room for it.
     */
    suspend fun readBody(
        response: IncomingResponse,
        body: HeldBody,
        limitBytes: Long = MAX_BODY_BYTES,
    ): Result<Unit, MessageFailure> = readBody(response, limitBytes, body::append)

    /** Reads and discards the body of [response], with the limit [MAX_BODY_BYTES]. */
    suspend fun discardBody(response: IncomingResponse): Result<Unit, MessageFailure> =
        readBody(response, MAX_BODY_BYTES) { true }

    /** Calls [take] with each part of the body, until it returns that it has no room. */
    private suspend fun readBody(
        response: IncomingResponse,
        limitBytes: Long,
        take: (ByteArray) -> Boolean,
    ): Result<Unit, MessageFailure> {
        var bytes = (response.framing as? BodyFraming.Length)?.bytes?.takeIf { it > limitBytes } ?: 0
        var room = true
        while (response.decoder.progress == BodyProgress.INCOMPLETE && bytes <= limitBytes && room) {
            val part = readPart(response)
            bytes += part.size
            room = take(part)
        }
        return when {
            bytes > limitBytes -> Err(MessageFailure.BODY_TOO_LARGE)
            !room -> Err(MessageFailure.NO_ROOM)
            response.decoder.progress == BodyProgress.COMPLETE -> Ok(Unit)
            else -> Err(MessageFailure.ENDED_EARLY)
        }
    }

    /** Suspends until more of the body of [response] has arrived and returns it; empty only at the end of the body. */
    suspend fun readPart(response: IncomingResponse): ByteArray {
        while (true) {
            val part = response.decoder.decode(input.queue)
            if (part.isNotEmpty() || response.decoder.progress != BodyProgress.INCOMPLETE) return part
            val end = input.end
            when {
                response.decoder.hasMore -> awaitSocketPoll()
                end == null -> input.awaitMore()
                else -> response.decoder.endOfInput(end == InputEnd.ORDERLY)
            }
        }
    }

    /** Closes the connection after everything has been sent. */
    fun close() {
        noNewRequests = true
        socket.close()
    }

    /**
     * Resets the connection, which makes the endpoint abort a request in flight. Unlike [close], it does not send what
     * is still queued: an endpoint that has paused would read it later and run a request that was given up.
     */
    fun abort() {
        noNewRequests = true
        socket.abort()
    }

    private companion object {
        const val MAX_HEAD_BYTES = 32_768

        // Responses of endpoints to callers are hundreds of times smaller.
        const val MAX_BODY_BYTES = 4_194_304L

        // Endpoints may send a few interim responses while they process a request.
        const val MAX_INTERIM_RESPONSES = 16
    }
}
