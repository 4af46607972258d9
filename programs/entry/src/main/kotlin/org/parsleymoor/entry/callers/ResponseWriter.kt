package org.parsleymoor.entry.callers

import io.vertx.core.buffer.Buffer
import io.vertx.core.net.NetSocket
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlinx.coroutines.withTimeoutOrNull
import org.parsleymoor.entry.net.forEachPiece
import org.parsleymoor.entry.net.headBytes
import org.parsleymoor.entry.net.message
import org.parsleymoor.relay.http.HeaderField
import org.parsleymoor.relay.http.HeldBody
import org.parsleymoor.relay.http.HttpStatus
import kotlin.coroutines.resume

/** Status line and fields of a response. Fields about connection and framing are added when it is written. */
internal class CallerResponseHead(val status: Int, val reason: String, val fields: List<HeaderField>) {
    constructor(status: HttpStatus, fields: List<HeaderField> = emptyList()) : this(status.code, status.phrase, fields)
}

/** What to do, [close], about a caller that takes nothing of its response for [limitMillis]. */
internal class WriteStall(val limitMillis: Long, val close: () -> Unit) {
    /** Closes the connection, whose end cancels the request. */
    suspend fun giveUp(): Nothing {
        close()
        awaitCancellation()
    }
}

/**
 * Writes the response to one request to [socket]. [keepAliveAllowed] is false if the caller asked for the connection to
 * be closed, [chunked] is true if it understands chunked transfer coding. [stopping] tells whether this instance is
 * shutting down. Without a [stall], a caller that does not read is waited for as long as the response is needed. With
 * [unread], the parts of a streamed response that the caller does not read are kept, and only [flush] waits for it.
 */
internal class ResponseWriter(
    private val socket: NetSocket,
    private val keepAliveAllowed: Boolean,
    private val chunked: Boolean,
    private val stopping: () -> Boolean,
    private val stall: WriteStall? = null,
    private val unread: UnreadResponses.Response? = null,
) {
    /** Status of the response, or null before its head is written. */
    var status: Int? = null
        private set

    /** Whether the response has been written to its end. */
    var complete = false
        private set

    /** Whether a write failed, so that what the caller has received is not known and nothing can be added to it. */
    var failed = false
        private set

    /** Whether the connection stays open for another request. */
    var keepAlive = keepAliveAllowed
        private set

    /** Writes a complete response, or aborts the response that has been started. */
    fun writeResponse(head: CallerResponseHead, body: ByteArray) {
        if (status != null) return abort()
        val length = HeaderField("Content-Length", body.size.toString())
        write { message(headWithFraming(head, listOf(length)), body) }
        complete = true
    }

    /** Writes a complete response, or aborts the response that has been started; suspends while [body] is needed. */
    suspend fun writeResponse(head: CallerResponseHead, body: HeldBody) {
        if (status != null) return abort()
        val length = HeaderField("Content-Length", body.size.toString())
        body.forEachPiece(headWithFraming(head, listOf(length))) { piece ->
            write(socket::write) { piece }
            awaitRoom()
        }
        complete = true
    }

    /** Writes the head of a response of unknown length. */
    fun startStream(head: CallerResponseHead) {
        if (!chunked) keepAlive = false
        val framing = if (chunked) listOf(HeaderField("Transfer-Encoding", "chunked")) else emptyList()
        write { Buffer.buffer(headWithFraming(head, framing)) }
    }

    /** Writes a part of the body; suspends while the socket's write queue is full, unless unread parts are kept. */
    suspend fun writePart(bytes: ByteArray) {
        if (bytes.isEmpty()) return
        write { if (chunked) chunk(bytes) else Buffer.buffer(bytes) }
        when {
            unread == null -> awaitRoom()
            unread.isGivenUp -> awaitCancellation()
            stall != null && unread.isStalled(stall.limitMillis) -> stall.giveUp()
        }
    }

    /** Suspends until the caller has read the response, but for what its socket holds. */
    suspend fun flush() {
        var left = unread != null
        while (unread != null && left) {
            val more = withTimeoutOrNull(stall?.limitMillis ?: Long.MAX_VALUE) { unread.awaitTaken() }
            if (more == null && stall != null) stall.giveUp()
            left = more ?: true
        }
    }

    /** Ends a response that was started with [startStream]. */
    fun endStream() {
        if (chunked) write { Buffer.buffer("0\r\n\r\n") }
        complete = unread?.isGivenUp != true
    }

    /** Gives the response up: the connection is closed, so that a partly written response does not look complete. */
    fun abort() {
        keepAlive = false
    }

    private fun headWithFraming(head: CallerResponseHead, framing: List<HeaderField>): ByteArray {
        if (stopping()) keepAlive = false
        status = head.status
        val connection = if (keepAlive) emptyList() else listOf(HeaderField("Connection", "close"))
        return headBytes("HTTP/1.1 ${head.status} ${head.reason}", head.fields + framing + connection)
    }

    private fun write(to: (Buffer) -> Unit = { unread?.write(it) ?: socket.write(it) }, buffer: () -> Buffer) {
        failed = true
        to(buffer())
        failed = false
    }

    /** Suspends while the socket's write queue is full, so that a caller that does not read gets nothing more. */
    private suspend fun awaitRoom() {
        if (!socket.writeQueueFull()) return
        val drained = withTimeoutOrNull(stall?.limitMillis ?: Long.MAX_VALUE) {
            suspendCancellableCoroutine { continuation ->
                socket.drainHandler { if (continuation.isActive) continuation.resume(Unit) }
            }
        }
        if (drained == null && stall != null) stall.giveUp()
    }
}

private fun chunk(bytes: ByteArray): Buffer = Buffer.buffer(bytes.size + CHUNK_FRAMING_BYTES)
    .appendString(bytes.size.toString(HEX_RADIX)).appendString(CRLF)
    .appendBytes(bytes).appendString(CRLF)

private const val HEX_RADIX = 16
private const val CRLF = "\r\n"
private const val CHUNK_FRAMING_BYTES = 16
