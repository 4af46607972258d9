package org.parsleymoor.peering

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onFailure
import java.io.ByteArrayOutputStream

/**
 * Splits bodies over frames. A part is far below the frame limit, so that a body holds up heartbeats on a connection of
 * 2.5 MB/s for about a tenth of a second.
 */
public object BodyParts {
    /** Size of every part but the last. */
    public const val PART_BYTES: Int = 262_144

    /** Returns the part of [body] that goes into the opening frame. */
    public fun first(body: ByteArray): ByteArray = if (body.size <= PART_BYTES) body else body.copyOf(PART_BYTES)
}

/** Sends what follows the first part of [body]; returns why the connection ended when it has. */
public suspend fun PeerExchange.sendRemainingParts(body: ByteArray): Result<Unit, PeerFailure> {
    for (from in BodyParts.PART_BYTES until body.size step BodyParts.PART_BYTES) {
        val part = body.copyOfRange(from, minOf(from + BodyParts.PART_BYTES, body.size))
        send(PeerMessage.BodyPart(number, part)).onFailure { return Err(it) }
    }
    return Ok(Unit)
}

/**
 * Suspends until the body of [totalBytes] bytes that starts with [first] is complete; returns why the connection ended
 * when it has, or [PeerFailure.InvalidBody] when other messages or more bytes arrive.
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
