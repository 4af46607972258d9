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
import org.parsleymoor.relay.http.MessageFault

/** Reads the response to [pending] from [connection]. */
internal class ResponseReader(
    private val pending: PendingRequest,
    private val connection: EndpointConnection,
    private val names: HeaderNames,
) {
    /** Suspends until the head of the response is there, passing over responses to other requests that arrive late. */
    suspend fun head(): Result<IncomingResponse, MessageFault> {
        repeat(FOREIGN_LIMIT) {
            val read = connection.readResponse(pending.request.head.method).andThen { own(it) }
            if (read.get() != null || read.getError() != null) return read.map { checkNotNull(it) }
        }
        return Err(MessageFault.TOO_MANY_RESPONSES)
    }

    /** Returns [response] when it answers [pending], null when it answered another request and has been passed over. */
    private suspend fun own(response: IncomingResponse): Result<IncomingResponse?, MessageFault> =
        when (response.head.headers[names.caller.attemptId]) {
            pending.id.value -> Ok(response).also { connection.echoesRequestIds = true }
            null -> if (connection.echoesRequestIds && !response.head.isRefusal(names)) UNIDENTIFIED else Ok(response)
            else -> passOver(response).map { null }
        }

    /** Suspends until the whole body of [response] is read; returns null when it broke off or is too large. */
    suspend fun body(response: IncomingResponse): ByteArray? = connection.readBody(response).get()

    /** Drops [response], which belongs to another request; nothing can follow one that ends with the connection. */
    private suspend fun passOver(response: IncomingResponse): Result<Unit, MessageFault> {
        connection.echoesRequestIds = true
        connection.noNewRequests = true
        val last = response.framing == BodyFraming.UntilClose
        return if (last) Err(MessageFault.TOO_MANY_RESPONSES) else connection.discardBody(response)
    }

    private companion object {
        val UNIDENTIFIED: Result<IncomingResponse, MessageFault> = Err(MessageFault.UNIDENTIFIED)

        // A second copy of an answer comes now and then; an endpoint that sends several others sends no answer.
        const val FOREIGN_LIMIT = 4
    }
}
