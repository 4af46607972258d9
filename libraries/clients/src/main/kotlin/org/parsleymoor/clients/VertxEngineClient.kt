package org.parsleymoor.clients

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import io.vertx.core.MultiMap
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClient
import io.vertx.core.http.HttpMethod
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.catch
import kotlinx.coroutines.flow.emitAll
import kotlinx.coroutines.flow.flow
import org.parsleymoor.core.AttemptId
import org.parsleymoor.core.FailureException

/**
 * [EngineClient] over HTTP with newline-delimited JSON streams. It owns a pool of at most [poolSize] connections and
 * replaces it after a stream timed out, because existing connections can stop responding while new ones work.
 */
public class VertxEngineClient(
    private val vertx: Vertx,
    private val address: HttpAddress,
    poolSize: Int = DEFAULT_POOL_SIZE,
    private val callTimeoutMillis: Long = DEFAULT_CALL_TIMEOUT_MILLIS,
) : EngineClient, AutoCloseable {
    private val pool = ReplaceablePool(vertx, poolSize)
    private val calls = JsonCalls({ HttpExchanges(pool.current, address, callTimeoutMillis) }, address)

    override fun generate(request: GenerateRequest, silenceMillis: Long): Flow<EngineEvent> = flow {
        val http = pool.current
        emitAll(
            stream(http, request, silenceMillis).catch { cause ->
                if ((cause as? FailureException)?.failure is EndpointFailure.Silent) pool.replace(http)
                throw cause
            }
        )
    }

    override suspend fun cancel(attempt: AttemptId): Result<Unit, EndpointFailure> =
        calls.send(HttpMethod.DELETE, "/v1/generate/$attempt").map { }

    override suspend fun load(): Result<EngineLoad, EndpointFailure> = calls.get("/v1/load")

    override suspend fun cacheEvents(sequence: Long): Result<CacheEvents, EndpointFailure> =
        calls.get("/v1/cache/events?after=$sequence")

    override suspend fun cacheSnapshot(): Result<CacheSnapshot, EndpointFailure> = calls.get("/v1/cache/snapshot")

    override suspend fun export(transfer: TransferRequest): Result<TransferResult, EndpointFailure> =
        calls.post("/v1/cache/export", transfer)

    override suspend fun import(transfer: TransferRequest): Result<TransferResult, EndpointFailure> =
        calls.post("/v1/cache/import", transfer)

    override suspend fun order(order: EngineOrder): Result<EngineLoad, EndpointFailure> =
        calls.post("/v1/orders", order)

    override fun close() {
        pool.close()
    }

    private fun stream(http: HttpClient, request: GenerateRequest, silenceMillis: Long): Flow<EngineEvent> {
        val body = Buffer.buffer(WireJson.encodeToString(GenerateRequest.serializer(), request))
        val headers = MultiMap.caseInsensitiveMultiMap().add("Content-Type", "application/json")
        if (request.traceParent.isNotEmpty()) headers.add("traceparent", request.traceParent)
        return JsonLines(http, address, silenceMillis)
            .read(OutgoingRequest(HttpMethod.POST, "/v1/generate", body, headers), EngineEvent.serializer()) {
                it is EngineEvent.Final && it.attempt == request.attempt
            }
    }

    private companion object {
        const val DEFAULT_POOL_SIZE = 256
        const val DEFAULT_CALL_TIMEOUT_MILLIS = 5_000L
    }
}
