package org.parsleymoor.clients

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClient
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.PoolOptions
import kotlinx.coroutines.flow.Flow
import kotlinx.serialization.builtins.ListSerializer

/** [PlatformClient] over HTTP and JSON; each call except a watch times out after [callTimeoutMillis]. */
public class VertxPlatformClient(
    private val vertx: Vertx,
    private val address: HttpAddress,
    private val callTimeoutMillis: Long = DEFAULT_CALL_TIMEOUT_MILLIS,
    private val maximumValueBytes: Int = DEFAULT_MAXIMUM_VALUE_BYTES,
) : PlatformClient, AutoCloseable {
    private val http: HttpClient = vertx.createHttpClient(
        HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS).setKeepAlive(true),
        PoolOptions().setHttp1MaxSize(POOL_SIZE),
    )
    private val exchanges = HttpExchanges(http, address, callTimeoutMillis)

    override suspend fun read(kind: String, name: String): Result<StoredObject?, PlatformFailure> =
        exchange(HttpMethod.GET, objectPath(kind, name)).andThen { response ->
            when (response.status) {
                PlatformStatusCode.OK -> response.decode(StoredObject.serializer())
                PlatformStatusCode.NOT_FOUND -> Ok(null)
                else -> Err(response.statusFailure())
            }
        }

    override suspend fun list(kind: String): Result<List<StoredObject>, PlatformFailure> =
        exchange(HttpMethod.GET, "/objects/${encoded(kind)}").andThen { response ->
            if (response.status == PlatformStatusCode.OK) {
                response.decode(ListSerializer(StoredObject.serializer()))
            } else {
                Err(response.statusFailure())
            }
        }

    override suspend fun write(
        kind: String,
        name: String,
        value: String,
        expectedVersion: Long,
        writeId: String,
    ): Result<Long, PlatformFailure> {
        val bytes = value.toByteArray().size
        if (bytes > maximumValueBytes) {
            return Err(PlatformFailure.Rejected("a value of at most $maximumValueBytes bytes", "$bytes bytes"))
        }
        val path = "${objectPath(kind, name)}?expectedVersion=$expectedVersion&writeId=${encoded(writeId)}"
        return exchange(HttpMethod.PUT, path, value).andThen { response ->
            when (response.status) {
                PlatformStatusCode.OK -> response.decode(StoredObject.serializer()).map { it.version }
                PlatformStatusCode.CONFLICT -> response.conflictFailure(expectedVersion)
                else -> Err(response.statusFailure())
            }
        }
    }

    override suspend fun delete(kind: String, name: String, expectedVersion: Long): Result<Unit, PlatformFailure> =
        exchange(HttpMethod.DELETE, "${objectPath(kind, name)}?expectedVersion=$expectedVersion").andThen { response ->
            when (response.status) {
                PlatformStatusCode.OK, PlatformStatusCode.NO_CONTENT -> Ok(Unit)
                PlatformStatusCode.CONFLICT -> response.conflictFailure(expectedVersion)
                else -> Err(response.statusFailure())
            }
        }

    override fun watch(kind: String, revision: Long, silenceMillis: Long): Flow<WatchEvent> =
        JsonLines(http, address, silenceMillis)
            .read(OutgoingRequest(HttpMethod.GET, "/watch/${encoded(kind)}?after=$revision"), WatchEvent.serializer())

    override suspend fun instances(): Result<List<ListedInstance>, PlatformFailure> =
        exchange(HttpMethod.GET, "/instances").andThen { response ->
            if (response.status == PlatformStatusCode.OK) {
                response.decode(ListSerializer(ListedInstance.serializer()))
            } else {
                Err(response.statusFailure())
            }
        }

    override fun close() {
        http.close()
    }

    private suspend fun exchange(
        method: HttpMethod,
        path: String,
        body: String? = null,
    ): Result<BufferedResponse, PlatformFailure> = exchanges.send(
        OutgoingRequest(method, path, body?.let { Buffer.buffer(it) })
    ).mapError {
        PlatformFailure.Unavailable(it.message, it.mayHaveRun && method != HttpMethod.GET)
    }

    private companion object {
        const val DEFAULT_CALL_TIMEOUT_MILLIS = 2_000L
        const val DEFAULT_MAXIMUM_VALUE_BYTES = 1_048_576
        const val CONNECT_TIMEOUT_MILLIS = 1_000
        const val POOL_SIZE = 32
    }
}
