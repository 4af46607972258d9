package org.parsleymoor.entry.serving

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import org.parsleymoor.entry.net.EndpointConnection
import org.parsleymoor.entry.net.IncomingResponse
import org.parsleymoor.entry.protocol.HeaderNames
import org.parsleymoor.relay.http.BodyProgress
import java.io.ByteArrayOutputStream

/** Reads the response to [work] from [connection]. */
internal class ResponseReader(
    private val work: Work,
    private val connection: EndpointConnection,
    private val names: HeaderNames,
) {
    private var foreign: IncomingResponse? = null

    /** Suspends until the head of the response is there, passing over responses to other requests that arrive late. */
    suspend fun head(): Result<IncomingResponse, String> {
        while (true) {
            passOver()
            val response = connection.readResponse(work.request.head.method).getOrElse { return Err(it.message) }
            val echoed = response.head.headers[names.caller.attemptId]
            if (echoed == null || echoed == work.id.value) return Ok(response)
            connection.spoiled = true
            foreign = response
        }
    }

    /** Suspends until the whole body of [response] is read; returns null when it broke off. */
    suspend fun body(response: IncomingResponse): ByteArray? {
        val body = ByteArrayOutputStream()
        while (response.decoder.progress == BodyProgress.INCOMPLETE) body.writeBytes(connection.readPart(response))
        return body.toByteArray().takeIf { response.decoder.progress == BodyProgress.COMPLETE }
    }

    private suspend fun passOver() {
        val response = foreign ?: return
        while (response.decoder.progress == BodyProgress.INCOMPLETE) connection.readPart(response)
        foreign = null
    }
}
