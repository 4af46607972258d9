package org.parsleymoor.clients

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.serializer

/** Sends JSON requests to one address and decodes the JSON responses. */
internal class JsonCalls(private val exchanges: () -> HttpExchanges, private val address: HttpAddress) {
    suspend inline fun <reified T> get(path: String): Result<T, EndpointFailure> =
        send(HttpMethod.GET, path).andThen { decode(serializer<T>(), it) }

    suspend inline fun <reified B, reified T> post(path: String, body: B): Result<T, EndpointFailure> =
        send(HttpMethod.POST, path, WireJson.encodeToString(serializer<B>(), body))
            .andThen { decode(serializer<T>(), it) }

    suspend fun send(method: HttpMethod, path: String, body: String? = null): Result<String, EndpointFailure> =
        exchanges().send(OutgoingRequest(method, path, body?.let { Buffer.buffer(it) }))
            .andThen { it.successText(address) }

    fun <T> decode(serializer: KSerializer<T>, text: String): Result<T, EndpointFailure> = try {
        Ok(WireJson.decodeFromString(serializer, text))
    } catch (cause: SerializationException) {
        val expected = serializer.descriptor.serialName.substringAfterLast('.')
        Err(EndpointFailure.Malformed(address.text, expected, cause.message ?: "a body that is not valid JSON"))
    }
}

/** Decodes the body of an error response; one that is not an [EngineRefusal] is [EndpointFailure.Malformed]. */
internal fun refusalOf(address: HttpAddress, status: Int, text: String): EndpointFailure = try {
    EndpointFailure.Refused(address.text, WireJson.decodeFromString(EngineRefusal.serializer(), text))
} catch (cause: SerializationException) {
    EndpointFailure.Malformed(address.text, "a refusal body", "status $status, ${cause.message}")
}
