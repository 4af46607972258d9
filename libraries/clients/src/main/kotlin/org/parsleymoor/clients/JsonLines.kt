package org.parsleymoor.clients

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.getOrElse
import io.vertx.core.Future
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClient
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpClientResponse
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import org.parsleymoor.core.FailureException

/**
 * Streams responses in newline-delimited JSON. Connecting, the response head and each line time out after
 * [silenceMillis].
 */
internal class JsonLines(
    private val http: HttpClient,
    private val address: HttpAddress,
    private val silenceMillis: Long,
) {
    /**
     * Sends [outgoing] and emits each line of the response up to the first that [isLast] accepts. The flow fails with a
     * [FailureException] that carries an [EndpointFailure], also if the response ends before that line. Cancelling the
     * collection resets the request, so that the server stops sending.
     */
    fun <T> read(
        outgoing: OutgoingRequest,
        serializer: KSerializer<T>,
        isLast: (T) -> Boolean = { false },
    ): Flow<T> = flow {
        val request = open(outgoing)
        var finished = false
        try {
            val response = awaitResponse(request, outgoing.body)
            finished = response.statusCode() != HTTP_OK
            if (finished) throw refusalFailure(response)
            val lines = LineQueue(response, MAXIMUM_LINE_BYTES)
            do {
                val item = decode(nextLine(lines), serializer)
                emit(item)
            } while (!isLast(item))
            finished = withTimeoutOrNull(END_OF_BODY_TIMEOUT_MILLIS) { lines.next() }?.isClosed ?: false
        } finally {
            if (!finished) request.reset()
        }
    }

    private suspend fun open(outgoing: OutgoingRequest): HttpClientRequest {
        val outcome = withTimeoutOrNull(silenceMillis) {
            http.open(outgoing, address)
        } ?: Err(EndpointFailure.NotConnected(address.text, "no connection within $silenceMillis ms"))
        return outcome.getOrElse { throw FailureException(it) }
    }

    private suspend fun awaitResponse(request: HttpClientRequest, body: Buffer?): HttpClientResponse {
        // Pausing on the event loop takes effect before any part of the body is delivered.
        val pending = (if (body == null) request.send() else request.send(body)).map { it.apply { pause() } }
        return await(pending)
    }

    private suspend fun refusalFailure(response: HttpClientResponse): FailureException {
        val body = response.body()
        response.resume()
        return FailureException(refusalOf(address, response.statusCode(), await(body).toString()))
    }

    private suspend fun <T> await(future: Future<T>): T {
        val outcome = withTimeoutOrNull(silenceMillis) {
            future.awaitResult { EndpointFailure.Broken(address.text, it) }
        } ?: Err(EndpointFailure.Silent(address.text, silenceMillis))
        return outcome.getOrElse { throw FailureException(it) }
    }

    private suspend fun nextLine(lines: LineQueue): Buffer {
        val received = withTimeoutOrNull(silenceMillis) { lines.next() }
            ?: throw FailureException(EndpointFailure.Silent(address.text, silenceMillis))
        return received.getOrNull()
            ?: throw FailureException(EndpointFailure.Broken(address.text, "the stream ended with no final event"))
    }

    private fun <T> decode(line: Buffer, serializer: KSerializer<T>): T = try {
        WireJson.decodeFromString(serializer, line.toString())
    } catch (cause: SerializationException) {
        val expected = serializer.descriptor.serialName.substringAfterLast('.')
        throw FailureException(
            EndpointFailure.Malformed(address.text, expected, cause.message ?: "a line that is not valid JSON"),
            cause,
        )
    }

    private companion object {
        const val HTTP_OK = 200

        // A pooled connection can be reused only once the response has ended; a connection that delays this is closed.
        const val END_OF_BODY_TIMEOUT_MILLIS = 200L
        const val MAXIMUM_LINE_BYTES = 1_048_576
    }
}
