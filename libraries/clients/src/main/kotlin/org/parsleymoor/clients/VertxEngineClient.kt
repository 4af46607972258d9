package org.parsleymoor.clients

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import io.vertx.core.Vertx
import io.vertx.core.http.HttpClient
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.PoolOptions
import kotlinx.coroutines.flow.Flow
import org.parsleymoor.core.AttemptId

/** [EngineClient] over HTTP with newline-delimited JSON streams. Owns a connection pool of [poolSize] connections. */
public class VertxEngineClient(
    private val vertx: Vertx,
    private val address: HttpAddress,
    poolSize: Int = DEFAULT_POOL_SIZE,
    callTimeoutMillis: Long = DEFAULT_CALL_TIMEOUT_MILLIS,
) : EngineClient, AutoCloseable {
    private val http: HttpClient = vertx.createHttpClient(
        HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS).setKeepAlive(true),
        PoolOptions().setHttp1MaxSize(poolSize),
    )
    private val calls = JsonCalls(http, address, callTimeoutMillis)

    override fun generate(request: GenerateRequest, silenceMillis: Long): Flow<EngineEvent> =
        EngineStream(vertx, http, address, silenceMillis).events(request)

    override suspend fun cancel(attempt: AttemptId): Result<Unit, BackEndFailure> =
        calls.send(HttpMethod.DELETE, "/v1/generate/$attempt").map { }

    override suspend fun load(): Result<EngineLoad, BackEndFailure> = calls.get("/v1/load")

    override suspend fun cacheEvents(sequence: Long): Result<CacheEvents, BackEndFailure> =
        calls.get("/v1/cache/events?after=$sequence")

    override suspend fun cacheSnapshot(): Result<CacheSnapshot, BackEndFailure> = calls.get("/v1/cache/snapshot")

    override suspend fun export(transfer: TransferRequest): Result<TransferResult, BackEndFailure> =
        calls.post("/v1/cache/export", transfer)

    override suspend fun import(transfer: TransferRequest): Result<TransferResult, BackEndFailure> =
        calls.post("/v1/cache/import", transfer)

    override suspend fun order(order: EngineOrder): Result<EngineLoad, BackEndFailure> = calls.post("/v1/orders", order)

    override fun close() {
        http.close()
    }

    private companion object {
        const val DEFAULT_POOL_SIZE = 256
        const val DEFAULT_CALL_TIMEOUT_MILLIS = 5_000L
        const val CONNECT_TIMEOUT_MILLIS = 1_000
    }
}
