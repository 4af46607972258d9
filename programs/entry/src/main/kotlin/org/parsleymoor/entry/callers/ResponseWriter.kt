package org.parsleymoor.entry.callers

import io.vertx.core.buffer.Buffer
import io.vertx.core.net.NetSocket
import kotlinx.coroutines.suspendCancellableCoroutine
import org.parsleymoor.entry.net.headBytes
import org.parsleymoor.entry.net.message
import org.parsleymoor.relay.http.HeaderField
import org.parsleymoor.relay.http.HttpStatus
import kotlin.coroutines.resume

/** Status line and fields of an answer; fields about connection and framing are added when it is written. */
internal class CallerResponseHead(val status: Int, val reason: String, val fields: List<HeaderField>) {
    constructor(status: HttpStatus, fields: List<HeaderField> = emptyList()) : this(status.code, status.phrase, fields)
}

/**
 * Writes the one answer to a request on [socket]. [keepAliveAllowed] is false when the caller asked for the connection to be
 * closed; [stopping] tells whether this instance is shutting down.
 */
internal class ResponseWriter(
    private val socket: NetSocket,
    private val keepAliveAllowed: Boolean,
    private val chunked: Boolean,
    private val stopping: () -> Boolean,
) {
    /** Status of the answer once its head is written. */
    var status: Int? = null
        private set

    /** Whether the whole answer has been written. */
    var complete = false
        private set

    /** Whether the connection stays open for another request. */
    var keepAlive = keepAliveAllowed
        private set

    /** Writes a whole answer. */
    fun writeResponse(head: CallerResponseHead, body: ByteArray) {
        val length = HeaderField("Content-Length", body.size.toString())
        socket.write(message(open(head, listOf(length)), body))
        complete = true
    }

    /** Writes the head of an answer whose length is not known. */
    fun startStream(head: CallerResponseHead) {
        if (!chunked) keepAlive = false
        val framing = if (chunked) listOf(HeaderField("Transfer-Encoding", "chunked")) else emptyList()
        socket.write(Buffer.buffer(open(head, framing)))
    }

    /** Writes a part of the body; suspends while the caller does not read. */
    suspend fun part(bytes: ByteArray) {
        if (bytes.isEmpty()) return
        val buffer = Buffer.buffer(bytes.size + CHUNK_OVERHEAD)
        if (chunked) buffer.appendString(bytes.size.toString(HEXADECIMAL)).appendString(LINE_BREAK)
        buffer.appendBytes(bytes)
        if (chunked) buffer.appendString(LINE_BREAK)
        socket.write(buffer)
        if (socket.writeQueueFull()) awaitDrain()
    }

    /** Ends an answer that was started with [startStream]. */
    fun endStream() {
        if (chunked) socket.write(Buffer.buffer("0\r\n\r\n"))
        complete = true
    }

    /** Closes the connection, so that an answer that was started does not look complete. */
    fun abort() {
        keepAlive = false
        socket.close()
    }

    private fun open(head: CallerResponseHead, framing: List<HeaderField>): ByteArray {
        if (stopping()) keepAlive = false
        status = head.status
        val connection = if (keepAlive) emptyList() else listOf(HeaderField("Connection", "close"))
        return headBytes("HTTP/1.1 ${head.status} ${head.reason}", head.fields + framing + connection)
    }

    private suspend fun awaitDrain() {
        suspendCancellableCoroutine { continuation ->
            socket.drainHandler { if (continuation.isActive) continuation.resume(Unit) }
        }
    }

    private companion object {
        const val HEXADECIMAL = 16
        const val LINE_BREAK = "\r\n"
        const val CHUNK_OVERHEAD = 16
    }
}
