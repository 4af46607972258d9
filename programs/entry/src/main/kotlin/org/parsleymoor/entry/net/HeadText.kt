package org.parsleymoor.entry.net

import io.vertx.core.buffer.Buffer
import org.parsleymoor.relay.http.HeaderField
import org.parsleymoor.relay.http.HeldBody

/** Encodes a message head of [startLine] and [fields]. */
internal fun headBytes(startLine: String, fields: List<HeaderField>): ByteArray {
    val text = StringBuilder(INITIAL_HEAD_CAPACITY).append(startLine).append("\r\n")
    fields.forEach { text.append(it.name).append(": ").append(it.value).append("\r\n") }
    return text.append("\r\n").toString().toByteArray(Charsets.ISO_8859_1)
}

/** Joins [head] and [body] in one buffer, so that a message is sent in one write. */
internal fun message(head: ByteArray, body: ByteArray): Buffer = Buffer.buffer(head).appendBytes(body)

/**
 * Calls [write] with [head] and this body in pieces of about [PIECE_BYTES], so that a small message is sent in one
 * write and a large one need not be copied as a whole.
 */
internal inline fun HeldBody.forEachPiece(head: ByteArray, write: (Buffer) -> Unit) {
    var piece = Buffer.buffer(head)
    forEachBlock { block, size ->
        for (start in 0 until size step PIECE_BYTES) {
            if (piece.length() >= PIECE_BYTES) {
                write(piece)
                piece = Buffer.buffer(PIECE_BYTES)
            }
            piece.appendBytes(block, start, minOf(PIECE_BYTES, size - start))
        }
    }
    write(piece)
}

/** Large enough that a write costs little per byte, small enough that a slow reader shows progress often. */
internal const val PIECE_BYTES = 16_384

/** Lower-case names of fields about a single connection, which are not forwarded (RFC 9110, section 7.6.1). */
internal val CONNECTION_FIELDS: Set<String> = setOf(
    "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "content-length",
    "expect", "proxy-authorization",
)

private const val INITIAL_HEAD_CAPACITY = 512
