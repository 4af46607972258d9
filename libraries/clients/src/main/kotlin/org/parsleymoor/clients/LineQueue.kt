package org.parsleymoor.clients

import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientResponse
import io.vertx.core.parsetools.RecordParser
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ChannelResult
import java.util.concurrent.atomic.AtomicInteger

/**
 * Splits a paused [response] into lines with backpressure: resumes the response and pauses it while many lines are
 * queued. The parser itself is never paused, because a paused parser signals the end before it delivers its buffered
 * lines, which would then be lost.
 */
internal class LineQueue(private val response: HttpClientResponse, maximumLineBytes: Int) {
    private val lines = Channel<Buffer>(Channel.UNLIMITED)
    private val queuedLines = AtomicInteger()

    init {
        val parser = RecordParser.newDelimited("\n").maxRecordSize(maximumLineBytes)
        parser.handler { enqueue(it) }
        parser.exceptionHandler { lines.close(it) }
        response.exceptionHandler { lines.close(it) }
        response.endHandler { lines.close() }
        response.handler(parser)
        response.resume()
    }

    /** Returns the next line, or a closed result after the last one. */
    suspend fun next(): ChannelResult<Buffer> = lines.receiveCatching().also {
        if (it.isSuccess && queuedLines.decrementAndGet() == RESUME_AT_LINES) response.resume()
    }

    private fun enqueue(line: Buffer) {
        lines.trySend(line)
        if (queuedLines.incrementAndGet() < PAUSE_AT_LINES) return
        response.pause()
        // The reader may have drained the queue before the pause, in which case only this check resumes the response.
        if (queuedLines.get() < PAUSE_AT_LINES) response.resume()
    }

    private companion object {
        const val PAUSE_AT_LINES = 256
        const val RESUME_AT_LINES = 64
    }
}
