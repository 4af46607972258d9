package org.parsleymoor.gateway.callers

import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerRequest
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.parsleymoor.core.FailureException
import java.nio.ByteBuffer
import java.nio.charset.CharacterCodingException
import java.nio.charset.CodingErrorAction

/**
 * Suspends until the whole body has arrived. Fails with a [Refusal] when it is over [maximumBytes] or not whole after
 * [senderMillis].
 */
internal suspend fun HttpServerRequest.readBody(maximumBytes: Int, senderMillis: Long): Buffer {
    val declared = getHeader("Content-Length")?.toLongOrNull() ?: 0
    if (declared > maximumBytes) throw tooLarge(maximumBytes, "$declared").toException()
    val whole = CompletableDeferred<Buffer>()
    val received = Buffer.buffer()
    handler { part ->
        if (received.length() + part.length() <= maximumBytes) {
            received.appendBuffer(part)
        } else {
            whole.completeExceptionally(tooLarge(maximumBytes, "more").toException())
        }
    }
    endHandler { whole.complete(received) }
    exceptionHandler { cause ->
        whole.completeExceptionally(Refusal(RefusalKind.CALLER_GONE, "the request broke off: $cause").toException())
    }
    return withTimeoutOrNull(senderMillis) { whole.await() }
        ?: throw Refusal(
            RefusalKind.SLOW_SENDER,
            "expected the whole body within $senderMillis ms, found ${received.length()} bytes",
        ).toException()
}

private fun tooLarge(maximumBytes: Int, found: String) =
    Refusal(RefusalKind.BODY_TOO_LARGE, "expected a body of at most $maximumBytes bytes, found $found")

/** Decodes the bytes as UTF-8; fails with a [Refusal] for any other bytes. */
internal fun Buffer.decodeText(): String = try {
    Charsets.UTF_8.newDecoder()
        .onMalformedInput(CodingErrorAction.REPORT)
        .onUnmappableCharacter(CodingErrorAction.REPORT)
        .decode(ByteBuffer.wrap(bytes)).toString()
} catch (cause: CharacterCodingException) {
    throw FailureException(Refusal(RefusalKind.INVALID_TEXT, "expected UTF-8, found: ${cause.message}"), cause)
}
