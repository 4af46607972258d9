package org.parsleymoor.entry.net

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.withTimeoutOrNull
import org.parsleymoor.core.Clock
import org.parsleymoor.relay.http.BodyDecoder
import org.parsleymoor.relay.http.BodyFraming
import org.parsleymoor.relay.http.BodyProgress
import org.parsleymoor.relay.http.HeldBody
import org.parsleymoor.relay.http.MessageFailure
import org.parsleymoor.relay.routing.CallerLimits

/**
 * Suspends until a message head of at most [limitBytes] has arrived; returns null if the connection ends before its
 * first byte. Empty lines before the head are skipped and count towards the limit, with [skippedBefore] bytes of them.
 */
internal suspend fun SocketInput.readHead(
    limitBytes: Int,
    skippedBefore: Int = 0,
): Result<ByteArray?, MessageFailure> {
    var skipped = skippedBefore + queue.skipEmptyLines()
    while (queue.headLength() == null && skipped + queue.size <= limitBytes && !stopped) {
        awaitMore()
        skipped += queue.skipEmptyLines()
    }
    val length = queue.headLength()
    return when {
        overflowed -> Err(MessageFailure.NO_ROOM)
        skipped + (length ?: queue.size) > limitBytes -> Err(MessageFailure.HEAD_TOO_LARGE)
        length != null -> Ok(queue.take(length))
        else -> if (queue.size == 0) Ok(null) else Err(MessageFailure.ENDED_EARLY)
    }
}

/**
 * Suspends until the complete body has been added to [body]. Fails if it has more bytes than [limits] allow, if the
 * account of [body] has no room for it, if nothing arrives for the idle limit, or if after that time it arrives at less
 * than [MIN_BODY_BYTES_PER_MILLI] on average.
 */
internal suspend fun SocketInput.readBody(
    framing: BodyFraming,
    body: HeldBody,
    limits: CallerLimits,
    clock: Clock,
): Result<Unit, MessageFailure> {
    val startMillis = clock.nowMillis()
    val decoder = BodyDecoder(framing)
    val tooLarge = framing is BodyFraming.Length && framing.bytes > limits.bodyBytes
    var fault = if (tooLarge) MessageFailure.BODY_TOO_LARGE else null
    while (decoder.progress == BodyProgress.INCOMPLETE && fault == null) {
        val part = decoder.decode(queue)
        val earnedMillis = (body.size + part.size) / MIN_BODY_BYTES_PER_MILLI
        val remainingMillis = startMillis + limits.idleMillis + earnedMillis - clock.nowMillis()
        fault = when {
            body.size + part.size > limits.bodyBytes -> MessageFailure.BODY_TOO_LARGE
            overflowed || !body.append(part) -> MessageFailure.NO_ROOM
            decoder.progress != BodyProgress.INCOMPLETE -> null
            else -> awaitMoreOf(decoder, minOf(limits.idleMillis, remainingMillis))
        }
    }
    return when {
        fault != null -> Err(fault)
        decoder.progress == BodyProgress.COMPLETE -> Ok(Unit)
        else -> Err(faultOf(framing, end))
    }
}

/** Waits up to [millis] for more bytes or the end of the connection; returns a failure if neither has come by then. */
private suspend fun SocketInput.awaitMoreOf(decoder: BodyDecoder, millis: Long): MessageFailure? {
    if (decoder.hasMore) {
        awaitSocketPoll()
        return null
    }
    val ended = end
    if (ended != null) decoder.endOfInput(ended == InputEnd.ORDERLY)
    val waited = ended != null || withTimeoutOrNull(millis) { awaitMore() } != null
    return if (waited) null else MessageFailure.TOO_SLOW
}

/**
 * Reads and drops what arrives within [millis], because closing a socket with unread data resets it and can destroy a
 * response that was written before.
 */
internal suspend fun SocketInput.discard(millis: Long) {
    withTimeoutOrNull(millis) {
        while (end == null) {
            queue.take(queue.size)
            awaitMore()
        }
    }
}

// A body that arrives more slowly than this would occupy its connection for hours.
private const val MIN_BODY_BYTES_PER_MILLI = 1L

private fun faultOf(framing: BodyFraming, end: InputEnd?): MessageFailure =
    if (framing == BodyFraming.Chunked && end == null) MessageFailure.MALFORMED_CHUNK else MessageFailure.ENDED_EARLY
