package org.parsleymoor.entry.net

import io.vertx.core.buffer.Buffer
import org.parsleymoor.relay.http.HeaderField

/** Encodes a message head of [startLine] and [fields]. */
internal fun headBytes(startLine: String, fields: List<HeaderField>): ByteArray {
    val text = StringBuilder(INITIAL_HEAD_CAPACITY).append(startLine).append("\r\n")
    fields.forEach { text.append(it.name).append(": ").append(it.value).append("\r\n") }
    return text.append("\r\n").toString().toByteArray(Charsets.ISO_8859_1)
}

/** Joins [head] and [body] in one buffer, so that a message is sent in one write. */
internal fun message(head: ByteArray, body: ByteArray): Buffer = Buffer.buffer(head).appendBytes(body)

/** Lower-case names of fields about a single connection, which are not forwarded (RFC 9110, section 7.6.1). */
internal val CONNECTION_FIELDS: Set<String> = setOf(
    "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "content-length",
    "expect", "proxy-authorization",
)

private const val INITIAL_HEAD_CAPACITY = 512
