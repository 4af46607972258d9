package org.parsleymoor.entry.serving

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.map
import org.parsleymoor.entry.net.EndpointConnection
import org.parsleymoor.entry.net.IncomingResponse
import org.parsleymoor.entry.protocol.HeaderNames
import org.parsleymoor.relay.http.BodyFraming
import org.parsleymoor.relay.http.MessageFailure

/** Reads the response to [work] from [connection]. */
internal class ResponseReader(
    private val work: Work,
    private val connection: EndpointConnection,
    private val names: HeaderNames,
) {
    /** Suspends until the head of the response is there, passing over responses to other requests that arrive late. */
    suspend fun head(): Result<IncomingResponse, MessageFailure> {
        repeat(FOREIGN_LIMIT) {
            val read = connection.readResponse(work.request.head.method).andThen { own(it) }
            if (read.get() != null || read.getError() != null) return read.map { checkNotNull(it) }
        }
        return Err(MessageFailure.TOO_MANY_RESPONSES)
    }

    /** Returns [response] when it answers [work], null when it answered another request and has been passed over. */
    private suspend fun own(response: IncomingResponse): Result<IncomingResponse?, MessageFailure> =
        when (response.head.headers[names.caller.attemptId]) {
            work.id.value -> Ok(response).also { connection.identified = true }
            null -> if (connection.identified && !response.head.isRefusal(names)) UNIDENTIFIED else Ok(response)
            else -> passOver(response).map { null }
        }

    /** Suspends until the whole body of [response] is read; returns null when it broke off or is too large. */
    suspend fun body(response: IncomingResponse): ByteArray? = connection.readBody(response).get()

    /** Drops [response], which belongs to another request; nothing can follow one that ends with the connection. */
    private suspend fun passOver(response: IncomingResponse): Result<Unit, MessageFailure> {
        connection.identified = true
        connection.spoiled = true
        val last = response.framing == BodyFraming.UntilClose
        return if (last) Err(MessageFailure.TOO_MANY_RESPONSES) else connection.dropBody(response)
    }

    private companion object {
        val UNIDENTIFIED: Result<IncomingResponse, MessageFailure> = Err(MessageFailure.UNIDENTIFIED)

        // A second copy of an answer comes now and then; an endpoint that sends several others sends no answer.
        const val FOREIGN_LIMIT = 4
    }
}
