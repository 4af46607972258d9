package org.parsleymoor.clients

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.ext.web.client.HttpResponse
import io.vertx.ext.web.client.WebClient
import io.vertx.ext.web.client.WebClientOptions
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import org.parsleymoor.core.RequestId

/** [OperationsClient] over HTTP and JSON; each call times out after [callTimeoutMillis]. */
public class VertxOperationsClient(
    vertx: Vertx,
    private val address: HttpAddress,
    private val callTimeoutMillis: Long = DEFAULT_CALL_TIMEOUT_MILLIS,
) : OperationsClient, AutoCloseable {
    private val web = WebClient.create(vertx, WebClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS))

    override suspend fun status(): Result<GatewayStatus, EndpointFailure> =
        call(HttpMethod.GET, "/status", null, GatewayStatus.serializer())

    override suspend fun offer(offer: ConfigurationOffer): Result<ConfigurationInEffect, EndpointFailure> {
        val body = WireJson.encodeToString(ConfigurationOffer.serializer(), offer)
        return call(HttpMethod.POST, "/configuration", body, ConfigurationInEffect.serializer())
    }

    override suspend fun history(request: RequestId): Result<RequestHistory, EndpointFailure> =
        call(HttpMethod.GET, "/requests/$request", null, RequestHistory.serializer())

    override fun close() {
        web.close()
    }

    private suspend fun <T> call(
        method: HttpMethod,
        path: String,
        body: String?,
        serializer: KSerializer<T>,
    ): Result<T, EndpointFailure> {
        val request = web.request(method, address.port, address.host, path).timeout(callTimeoutMillis)
        val sent = if (body == null) request.send() else request.sendBuffer(Buffer.buffer(body))
        return sent.awaitResult { EndpointFailure.Broken(address.text, it) }.andThen { decode(it, serializer) }
    }

    private fun <T> decode(
        response: HttpResponse<Buffer>,
        serializer: KSerializer<T>,
    ): Result<T, EndpointFailure> = try {
        Ok(WireJson.decodeFromString(serializer, response.bodyAsString().orEmpty()))
    } catch (cause: SerializationException) {
        val expected = serializer.descriptor.serialName.substringAfterLast('.')
        val found = "status ${response.statusCode()}, ${cause.message.orEmpty().lineSequence().first()}"
        Err(EndpointFailure.Malformed(address.text, expected, found))
    }

    private companion object {
        const val DEFAULT_CALL_TIMEOUT_MILLIS = 2_000L
        const val CONNECT_TIMEOUT_MILLIS = 1_000
    }
}
