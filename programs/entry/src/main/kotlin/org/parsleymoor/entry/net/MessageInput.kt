package org.parsleymoor.entry.net

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.withTimeoutOrNull
import org.parsleymoor.core.Clock
import org.parsleymoor.relay.http.BodyDecoder
import org.parsleymoor.relay.http.BodyFraming
import org.parsleymoor.relay.http.BodyProgress
import org.parsleymoor.relay.http.MessageFailure
import java.io.ByteArrayOutputStream

/**
 * Suspends until a message head of at most [limitBytes] has arrived; returns null if the connection ends before its
 * first byte. Empty lines before the head are skipped and count towards the limit.
 */
internal suspend fun SocketInput.readHead(limitBytes: Int): Result<ByteArray?, MessageFailure> {
    var skipped = queue.skipEmptyLines()
    while (queue.headLength() == null && skipped + queue.size <= limitBytes && end == null) {
        awaitMore()
        skipped += queue.skipEmptyLines()
    }
    val length = queue.headLength()
    return when {
        skipped + (length ?: queue.size) > limitBytes -> Err(MessageFailure.HEAD_TOO_LARGE)
        length != null -> Ok(queue.take(length))
        else -> if (queue.size == 0) Ok(null) else Err(MessageFailure.ENDED_EARLY)
    }
}

/**
 * Suspends until the complete body has arrived. Fails if it has more than [limitBytes], if nothing arrives for
 * [pauseMillis], or if after that time it arrives at less than [MIN_BODY_BYTES_PER_MILLI] on average.
 */
internal suspend fun SocketInput.readBody(
    framing: BodyFraming,
    limitBytes: Int,
    pauseMillis: Long,
    clock: Clock,
): Result<ByteArray, MessageFailure> {
    val startMillis = clock.nowMillis()
    val decoder = BodyDecoder(framing)
    val content = ByteArrayOutputStream()
    var tooSlow = false
    var tooLarge = framing is BodyFraming.Length && framing.bytes > limitBytes
    while (decoder.progress == BodyProgress.INCOMPLETE && !tooLarge && !tooSlow) {
        content.writeBytes(decoder.decode(queue))
        tooLarge = content.size() > limitBytes
        if (decoder.progress == BodyProgress.INCOMPLETE && !tooLarge) {
            val ended = end
            if (ended != null) {
                decoder.endOfInput(ended == InputEnd.ORDERLY)
            } else {
                val earnedMillis = content.size() / MIN_BODY_BYTES_PER_MILLI
                val remainingMillis = startMillis + pauseMillis + earnedMillis - clock.nowMillis()
                tooSlow = withTimeoutOrNull(minOf(pauseMillis, remainingMillis)) { awaitMore() } == null
            }
        }
    }
    return when {
        tooLarge -> Err(MessageFailure.BODY_TOO_LARGE)
        tooSlow -> Err(MessageFailure.TOO_SLOW)
        decoder.progress == BodyProgress.COMPLETE -> Ok(content.toByteArray())
        else -> Err(faultOf(framing, end))
    }
}

// A body that arrives more slowly than this would occupy its connection for hours.
private const val MIN_BODY_BYTES_PER_MILLI = 1L

private fun faultOf(framing: BodyFraming, end: InputEnd?): MessageFailure =
    if (framing == BodyFraming.Chunked && end == null) MessageFailure.MALFORMED_CHUNK else MessageFailure.ENDED_EARLY
