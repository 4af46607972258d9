package org.parsleymoor.clients

import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientResponse
import io.vertx.core.parsetools.RecordParser
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ChannelResult
import java.util.concurrent.atomic.AtomicInteger

/**
 * The lines of a paused [response], which is resumed here and paused again while many lines wait. The parser itself is
 * never paused: a paused parser reports its end before the lines that it still holds, and these were lost.
 */
internal class LineQueue(private val response: HttpClientResponse, maximumLineBytes: Int) {
    private val lines = Channel<Buffer>(Channel.UNLIMITED)
    private val waiting = AtomicInteger()

    init {
        val parser = RecordParser.newDelimited("\n").maxRecordSize(maximumLineBytes)
        parser.handler { arrived(it) }
        parser.exceptionHandler { lines.close(it) }
        response.exceptionHandler { lines.close(it) }
        response.endHandler { lines.close() }
        response.handler(parser)
        response.resume()
    }

    /** Suspends until the next line; the result is closed after the last one. */
    suspend fun next(): ChannelResult<Buffer> = lines.receiveCatching().also {
        if (it.isSuccess && waiting.decrementAndGet() == RESUME_AT) response.resume()
    }

    private fun arrived(line: Buffer) {
        lines.trySend(line)
        if (waiting.incrementAndGet() < PAUSE_AT) return
        response.pause()
        // The reader may have taken the lines since they were counted, and then nothing else resumes the response.
        if (waiting.get() < PAUSE_AT) response.resume()
    }

    private companion object {
        const val PAUSE_AT = 256
        const val RESUME_AT = 64
    }
}
