package org.parsleymoor.entry.serving

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import org.parsleymoor.entry.net.EndpointConnection
import org.parsleymoor.entry.net.IncomingResponse
import org.parsleymoor.entry.protocol.HeaderNames
import org.parsleymoor.relay.http.BodyFraming
import org.parsleymoor.relay.http.MessageFault

/** Reads the response to [work] from [connection]. */
internal class ResponseReader(
    private val work: Work,
    private val connection: EndpointConnection,
    private val names: HeaderNames,
) {
    /** Suspends until the head of the response is there, passing over responses to other requests that arrive late. */
    suspend fun head(): Result<IncomingResponse, MessageFault> {
        repeat(FOREIGN_LIMIT) {
            val response = connection.readResponse(work.request.head.method).getOrElse { return Err(it) }
            when (response.head.headers[names.caller.attemptId]) {
                work.id.value -> {
                    connection.identified = true
                    return Ok(response)
                }
                null -> return if (connection.identified) Err(MessageFault.UNIDENTIFIED) else Ok(response)
                else -> passOver(response)?.let { return Err(it) }
            }
        }
        return Err(MessageFault.TOO_MANY_RESPONSES)
    }

    /** Suspends until the whole body of [response] is read; returns null when it broke off or is too large. */
    suspend fun body(response: IncomingResponse): ByteArray? = connection.readBody(response).get()

    /** Returns why nothing can follow [response], or null. */
    private suspend fun passOver(response: IncomingResponse): MessageFault? {
        connection.identified = true
        connection.spoiled = true
        if (response.framing == BodyFraming.UntilClose) return MessageFault.TOO_MANY_RESPONSES
        return connection.dropBody(response).getError()
    }

    private companion object {
        // A second copy of an answer comes now and then; an endpoint that sends several others sends no answer.
        const val FOREIGN_LIMIT = 4
    }
}
