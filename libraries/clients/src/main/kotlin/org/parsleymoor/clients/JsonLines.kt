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

/** Answers in newline-delimited JSON; the connection, the head and each line have to arrive within [silenceMillis]. */
internal class JsonLines(
    private val http: HttpClient,
    private val address: HttpAddress,
    private val silenceMillis: Long,
) {
    /**
     * Sends [outgoing] and emits each line of the answer until [isLast] accepts one. The flow fails with a
     * [FailureException] that carries a [EndpointFailure], also when the answer ends before the last line. A collection
     * that stops early closes the connection, so that the sender stops too.
     */
    fun <T> read(
        outgoing: OutgoingRequest,
        serializer: KSerializer<T>,
        isLast: (T) -> Boolean = { false },
    ): Flow<T> = flow {
        val request = open(outgoing)
        var finished = false
        try {
            val response = response(request, outgoing.body)
            finished = response.statusCode() != HTTP_OK
            if (finished) throw refused(response)
            val lines = LineQueue(response, MAXIMUM_LINE_BYTES)
            do {
                val item = decode(nextLine(lines), serializer)
                emit(item)
            } while (!isLast(item))
            finished = withTimeoutOrNull(END_MILLIS) { lines.next() }?.isClosed ?: false
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

    private suspend fun response(request: HttpClientRequest, body: Buffer?): HttpClientResponse {
        // The response is paused on its event loop before any byte of its body can be delivered.
        val arrived = (if (body == null) request.send() else request.send(body)).map { it.apply { pause() } }
        return await(arrived)
    }

    private suspend fun refused(response: HttpClientResponse): FailureException {
        val body = response.body()
        response.resume()
        return FailureException(refusalOf(address, response.statusCode(), await(body).toString()))
    }

    private suspend fun <T> await(future: Future<T>): T {
        val outcome = withTimeoutOrNull(silenceMillis) {
            future.awaitOr { EndpointFailure.Broken(address.text, it) }
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
            EndpointFailure.Malformed(address.text, expected, cause.message ?: "an unreadable line"),
            cause,
        )
    }

    private companion object {
        const val HTTP_OK = 200

        // A pooled connection is used again only after the end of the answer; a sender that delays it is cut off.
        const val END_MILLIS = 200L
        const val MAXIMUM_LINE_BYTES = 1_048_576
    }
}
