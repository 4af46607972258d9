package org.parsleymoor.clients

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClient
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.RequestOptions
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.serializer

/** Unary JSON calls to one address; each ends within [timeoutMillis]. */
internal class JsonCalls(
    private val http: HttpClient,
    private val address: HttpAddress,
    private val timeoutMillis: Long,
) {
    suspend inline fun <reified T> get(path: String): Result<T, BackEndFailure> =
        send(HttpMethod.GET, path).andThen { decode(serializer<T>(), it) }

    suspend inline fun <reified B, reified T> post(path: String, body: B): Result<T, BackEndFailure> =
        send(HttpMethod.POST, path, WireJson.encodeToString(serializer<B>(), body))
            .andThen { decode(serializer<T>(), it) }

    suspend fun send(method: HttpMethod, path: String, body: String? = null): Result<String, BackEndFailure> =
        withTimeoutOrNull(timeoutMillis) { exchange(method, path, body) }
            ?: Err(BackEndFailure.Silent(address.text, timeoutMillis))

    fun <T> decode(serializer: KSerializer<T>, text: String): Result<T, BackEndFailure> = try {
        Ok(WireJson.decodeFromString(serializer, text))
    } catch (cause: SerializationException) {
        val expected = serializer.descriptor.serialName.substringAfterLast('.')
        Err(BackEndFailure.Malformed(address.text, expected, cause.message ?: "an unreadable body"))
    }

    private suspend fun exchange(method: HttpMethod, path: String, body: String?): Result<String, BackEndFailure> {
        val options = RequestOptions().setHost(address.host).setPort(address.port).setMethod(method).setURI(path)
        return http.request(options).awaitOr { BackEndFailure.NotConnected(address.text, it) }
            .andThen { answer(it, body) }
    }

    private suspend fun answer(request: HttpClientRequest, body: String?): Result<String, BackEndFailure> {
        val sent = if (body == null) request.send() else request.send(Buffer.buffer(body))
        return sent.awaitOr { BackEndFailure.Broken(address.text, it) }.andThen { response ->
            response.body().awaitOr { BackEndFailure.Broken(address.text, it) }
                .andThen { checkStatus(response.statusCode(), it.toString()) }
        }
    }

    private fun checkStatus(status: Int, text: String): Result<String, BackEndFailure> =
        if (status in SUCCESS) Ok(text) else Err(refusalOf(address, status, text))

    private companion object {
        val SUCCESS = 200..299
    }
}

/** Reads the body of a refusal; a body of another form is [BackEndFailure.Malformed]. */
internal fun refusalOf(address: HttpAddress, status: Int, text: String): BackEndFailure = try {
    BackEndFailure.Refused(address.text, WireJson.decodeFromString(EngineRefusal.serializer(), text))
} catch (cause: SerializationException) {
    BackEndFailure.Malformed(address.text, "a refusal body", "status $status, ${cause.message}")
}
