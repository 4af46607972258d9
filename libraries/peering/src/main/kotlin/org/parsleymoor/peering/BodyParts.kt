package org.parsleymoor.peering

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onFailure
import java.io.ByteArrayOutputStream

/**
 * Splits bodies into parts that are sent in separate frames. A part is far smaller than the frame limit: heartbeats
 * wait only for the part that is being written, which takes about 0.1 s on a connection of 2.5 MB/s.
 */
public object BodyParts {
    /** Size of every part except the last. */
    public const val PART_BYTES: Int = 262_144

    /** Returns the first part of [body], which is sent in the message that announces the body. */
    public fun first(body: ByteArray): ByteArray = if (body.size <= PART_BYTES) body else body.copyOf(PART_BYTES)
}

/** Sends all parts of [body] after the first; returns the failure if the connection has ended. */
public suspend fun PeerExchange.sendRemainingParts(body: ByteArray): Result<Unit, PeerFailure> {
    for (offset in BodyParts.PART_BYTES until body.size step BodyParts.PART_BYTES) {
        val part = body.copyOfRange(offset, minOf(offset + BodyParts.PART_BYTES, body.size))
        send(PeerMessage.BodyPart(number, part)).onFailure { return Err(it) }
    }
    return Ok(Unit)
}

/**
 * Receives the rest of a body of [totalBytes] bytes whose first part is [first], and returns the whole body. Returns
 * the failure if the connection ends, or [PeerFailure.InvalidBody] if another message, an empty part or more than
 * [totalBytes] arrive.
 */
public suspend fun PeerExchange.receiveRemainingParts(
    first: ByteArray,
    totalBytes: Int,
): Result<ByteArray, PeerFailure> {
    val body = ByteArrayOutputStream(first.size).apply { writeBytes(first) }
    var failure: PeerFailure? = null
    while (failure == null && body.size() < totalBytes) {
        val message = receive().getOrElse { return Err(it) }
        if (message is PeerMessage.BodyPart && message.bytes.isNotEmpty()) {
            body.writeBytes(message.bytes)
        } else {
            failure = PeerFailure.InvalidBody(totalBytes, "${message::class.simpleName} after ${body.size()} bytes")
        }
    }
    if (body.size() > totalBytes) failure = PeerFailure.InvalidBody(totalBytes, "${body.size()} bytes")
    return failure?.let { Err(it) } ?: Ok(body.toByteArray())
}
