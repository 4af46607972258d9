package org.parsleymoor.clients

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.onFailure
import io.vertx.core.MultiMap
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClient
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.PoolOptions
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException

/** [ServiceClient] over HTTP. A request that may not be repeated gets its own connection; see [ServiceCall]. */
public class VertxServiceClient(
    vertx: Vertx,
    private val address: HttpAddress,
    poolSize: Int = DEFAULT_POOL_SIZE,
) : ServiceClient, AutoCloseable {
    private val pool = ReplaceablePool(vertx, poolSize)
    private val unpooled: HttpClient = vertx.createHttpClient(
        HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS).setKeepAlive(false),
        PoolOptions().setHttp1MaxSize(poolSize),
    )

    override suspend fun call(call: ServiceCall, timeoutMillis: Long): Result<ServiceCallResponse, EndpointFailure> {
        val http = if (call.repeatable) pool.current else unpooled
        val headers = MultiMap.caseInsensitiveMultiMap()
        call.headers.forEach { headers.add(it.name, it.value) }
        val body = call.body.takeIf { it.isNotEmpty() }?.let { Buffer.buffer(it) }
        return HttpExchanges(http, address, timeoutMillis)
            .send(OutgoingRequest(HttpMethod.valueOf(call.method), call.path, body, headers))
            .onFailure { if (call.repeatable && it is EndpointFailure.Silent) pool.replace(http) }
            .andThen { responseOrRefusal(it) }
    }

    override fun close() {
        pool.close()
        unpooled.close()
    }

    private fun responseOrRefusal(response: BufferedResponse): Result<ServiceCallResponse, EndpointFailure> {
        val refusal = if (response.status == SERVICE_UNAVAILABLE) parseRefusal(response.text) else null
        if (refusal != null) return Err(EndpointFailure.Refused(address.text, refusal))
        val headers = response.headers.entries().map { HeaderField(it.key, it.value) }
        return Ok(ServiceCallResponse(response.status, headers, response.body.bytes))
    }

    private fun parseRefusal(text: String): EngineRefusal? = try {
        WireJson.decodeFromString(ServiceRefusal.serializer(), text)
            .takeIf { it.execution == "not_run" }
            ?.let { EngineRefusal(EngineRefusalReason.FULL, it.detail, it.retryAfterMillis) }
    } catch (_: SerializationException) {
        null
    }

    @Serializable
    private data class ServiceRefusal(
        val execution: String = "",
        val detail: String = "",
        val retryAfterMillis: Long = 0,
    )

    private companion object {
        const val DEFAULT_POOL_SIZE = 256
        const val CONNECT_TIMEOUT_MILLIS = 1_000
        const val SERVICE_UNAVAILABLE = 503
    }
}
