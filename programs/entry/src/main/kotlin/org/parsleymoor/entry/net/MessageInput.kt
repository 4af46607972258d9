package org.parsleymoor.entry.net

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.parsleymoor.relay.http.BodyDecoder
import org.parsleymoor.relay.http.BodyFraming
import org.parsleymoor.relay.http.BodyProgress
import org.parsleymoor.relay.http.MessageFault
import java.io.ByteArrayOutputStream

/** Suspends until a head has arrived; returns null when the connection ends before its first byte. */
internal suspend fun SocketInput.readHead(limitBytes: Int): Result<ByteArray?, MessageFault> {
    queue.skipEmptyLines()
    while (true) {
        val length = queue.headLength()
        when {
            (length ?: queue.size) > limitBytes -> return Err(MessageFault.HEAD_TOO_LARGE)
            length != null -> return Ok(queue.take(length))
            end != null -> return if (queue.size == 0) Ok(null) else Err(MessageFault.ENDED_EARLY)
        }
        awaitMore()
        queue.skipEmptyLines()
    }
}

/** Suspends until the whole body has arrived; a body over [limitBytes] is a fault. */
internal suspend fun SocketInput.readBody(framing: BodyFraming, limitBytes: Int): Result<ByteArray, MessageFault> {
    if (framing is BodyFraming.Length && framing.bytes > limitBytes) return Err(MessageFault.BODY_TOO_LARGE)
    val decoder = BodyDecoder(framing)
    val content = ByteArrayOutputStream()
    while (decoder.progress == BodyProgress.INCOMPLETE) {
        content.writeBytes(decoder.decode(queue))
        if (content.size() > limitBytes) return Err(MessageFault.BODY_TOO_LARGE)
        if (decoder.progress == BodyProgress.INCOMPLETE) {
            val ended = end
            if (ended != null) decoder.endOfInput(ended == InputEnd.ORDERLY) else awaitMore()
        }
    }
    return if (decoder.progress == BodyProgress.COMPLETE) Ok(content.toByteArray()) else Err(faultOf(framing, end))
}

private fun faultOf(framing: BodyFraming, end: InputEnd?): MessageFault =
    if (framing == BodyFraming.Chunked && end == null) MessageFault.MALFORMED_CHUNK else MessageFault.ENDED_EARLY
