package org.parsleymoor.clients

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.getOrElse
import io.vertx.core.Future
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClient
import io.vertx.core.http.HttpClientResponse
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.RequestOptions
import io.vertx.core.parsetools.RecordParser
import io.vertx.kotlin.coroutines.toReceiveChannel
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import org.parsleymoor.core.AttemptId
import org.parsleymoor.core.FailureException

/** The answer stream of one generate call; each step has to happen within [silenceMillis]. */
internal class EngineStream(
    private val vertx: Vertx,
    private val http: HttpClient,
    private val address: HttpAddress,
    private val silenceMillis: Long,
) {
    fun events(request: GenerateRequest): Flow<EngineEvent> = flow {
        val response = open(request)
        val lines = RecordParser.newDelimited("\n", response).toReceiveChannel(vertx)
        try {
            emitUntilFinal(lines, request.attempt) { emit(it) }
        } finally {
            lines.cancel()
        }
    }

    private suspend fun open(request: GenerateRequest): HttpClientResponse {
        val options = RequestOptions().setHost(address.host).setPort(address.port)
            .setMethod(HttpMethod.POST).setURI("/v1/generate")
        val outgoing = await(http.request(options)) { cause ->
            BackEndFailure.NotConnected(address.text, cause)
        }
        val body = Buffer.buffer(WireJson.encodeToString(GenerateRequest.serializer(), request))
        val response = await(outgoing.send(body)) { BackEndFailure.Broken(address.text, it) }
        response.pause()
        if (response.statusCode() == HTTP_OK) return response
        response.resume()
        val text = await(response.body()) { BackEndFailure.Broken(address.text, it) }
        throw FailureException(refusalOf(address, response.statusCode(), text.toString()))
    }

    private suspend fun <T> await(future: Future<T>, failure: (String) -> BackEndFailure): T {
        val outcome = withTimeoutOrNull(silenceMillis) { future.awaitOr(failure) }
            ?: Err(BackEndFailure.Silent(address.text, silenceMillis))
        return outcome.getOrElse { throw FailureException(it) }
    }

    private suspend fun emitUntilFinal(
        lines: ReceiveChannel<Buffer>,
        attempt: AttemptId,
        emit: suspend (EngineEvent) -> Unit,
    ) {
        var ended = false
        while (!ended) {
            val received = withTimeoutOrNull(silenceMillis) { lines.receiveCatching() }
                ?: throw FailureException(BackEndFailure.Silent(address.text, silenceMillis))
            val line = received.getOrNull()
                ?: throw FailureException(BackEndFailure.Broken(address.text, "the stream ended with no final event"))
            val event = decode(line)
            if (event.attempt == attempt) {
                emit(event)
                ended = event is EngineEvent.Final
            }
        }
    }

    private fun decode(line: Buffer): EngineEvent = try {
        WireJson.decodeFromString(EngineEvent.serializer(), line.toString())
    } catch (cause: SerializationException) {
        throw FailureException(
            BackEndFailure.Malformed(address.text, "an engine event", cause.message ?: "an unreadable line"),
            cause,
        )
    }

    private companion object {
        const val HTTP_OK = 200
    }
}
