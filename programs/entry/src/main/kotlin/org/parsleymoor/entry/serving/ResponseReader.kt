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
import org.parsleymoor.relay.http.HeldBody
import org.parsleymoor.relay.http.MessageFailure

/** Reads the response to [pending] from [connection], skipping responses to other requests. */
internal class ResponseReader(
    private val pending: PendingRequest,
    private val connection: EndpointConnection,
    private val names: HeaderNames,
) {
    /** Suspends until the response head has arrived. Skips late responses to earlier requests on the connection. */
    suspend fun head(): Result<IncomingResponse, MessageFailure> {
        repeat(MAX_FOREIGN_RESPONSES) {
            val read = connection.readResponse(pending.request.head.method).andThen { matchOwn(it) }
            if (read.get() != null || read.getError() != null) return read.map { checkNotNull(it) }
        }
        return Err(MessageFailure.TOO_MANY_RESPONSES)
    }

    /** Returns [response] if it belongs to [pending]; null if it belonged to another request and was discarded. */
    private suspend fun matchOwn(response: IncomingResponse): Result<IncomingResponse?, MessageFailure> =
        when (response.head.headers[names.caller.attemptId]) {
            pending.id.value -> Ok(response).also { connection.echoesRequestIds = true }
            null -> acceptUnidentified(response)
            else -> discardForeign(response).map { null }
        }

    /**
     * Accepts [response], which has no request id, if no response on the connection has had one. No further request is
     * sent on the connection, because a copy of the response could not be told from the response to that request.
     */
    private fun acceptUnidentified(response: IncomingResponse): Result<IncomingResponse?, MessageFailure> {
        connection.noNewRequests = true
        return if (connection.echoesRequestIds) UNIDENTIFIED else Ok(response)
    }

    /** Suspends until the body of [response] has been added to [body]; fails if it is incomplete or too large. */
    suspend fun body(response: IncomingResponse, body: HeldBody): Result<Unit, MessageFailure> =
        connection.readBody(response, body)

    /** Suspends until the body of [response] has been read and discarded; returns whether it was complete. */
    suspend fun discardBody(response: IncomingResponse): Boolean = connection.discardBody(response).isOk

    /**
     * Discards [response], which belongs to another request. Fails if its body is delimited by the connection's end.
     */
    private suspend fun discardForeign(response: IncomingResponse): Result<Unit, MessageFailure> {
        connection.echoesRequestIds = true
        connection.noNewRequests = true
        val last = response.framing == BodyFraming.UntilClose
        return if (last) Err(MessageFailure.TOO_MANY_RESPONSES) else connection.discardBody(response)
    }

    private companion object {
        val UNIDENTIFIED: Result<IncomingResponse, MessageFailure> = Err(MessageFailure.UNIDENTIFIED)

        // Endpoints occasionally send a response twice. One that sends several foreign responses is taken to be broken.
        const val MAX_FOREIGN_RESPONSES = 4
    }
}
