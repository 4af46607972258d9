package org.parsleymoor.clients

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map
import io.vertx.core.MultiMap
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import org.parsleymoor.core.sha256Hex

/** [StoreClient] over HTTP. The `Content-Digest` header carries a block's SHA-256 in hexadecimal. */
public class VertxStoreClient(
    vertx: Vertx,
    private val address: HttpAddress,
    callTimeoutMillis: Long = DEFAULT_CALL_TIMEOUT_MILLIS,
) : StoreClient, AutoCloseable {
    private val pool = ReplaceablePool(vertx, POOL_SIZE)
    private val exchanges = { HttpExchanges(pool.current, address, callTimeoutMillis) }
    private val calls = JsonCalls(exchanges, address)

    override suspend fun write(piece: String, generation: Long, bytes: ByteArray): Result<Unit, EndpointFailure> {
        val headers = MultiMap.caseInsensitiveMultiMap().add(CHECKSUM_HEADER, bytes.sha256Hex())
        val request = OutgoingRequest(HttpMethod.PUT, blockPath(piece, generation), Buffer.buffer(bytes), headers)
        return exchanges().send(request)
            .andThen { it.successText(address) }.map { }
    }

    override suspend fun read(piece: String, generation: Long): Result<ByteArray, EndpointFailure> =
        exchanges().send(OutgoingRequest(HttpMethod.GET, blockPath(piece, generation))).andThen { response ->
            response.successText(address).andThen { verifyChecksum(response) }
        }

    override suspend fun delete(piece: String): Result<Unit, EndpointFailure> =
        calls.send(HttpMethod.DELETE, "/v1/blocks/$piece").map { }

    override suspend fun move(piece: String, generation: Long, tier: BlockTier): Result<Unit, EndpointFailure> {
        val path = "/v1/blocks/$piece/tier?generation=$generation&tier=${tier.name.lowercase()}"
        return calls.send(HttpMethod.POST, path).map { }
    }

    override suspend fun load(): Result<StoreLoad, EndpointFailure> = calls.get("/v1/load")

    override suspend fun cacheEvents(sequence: Long): Result<CacheEvents, EndpointFailure> =
        calls.get("/v1/cache/events?after=$sequence")

    override suspend fun cacheSnapshot(): Result<CacheSnapshot, EndpointFailure> = calls.get("/v1/cache/snapshot")

    override fun close() {
        pool.close()
    }

    private fun verifyChecksum(response: BufferedResponse): Result<ByteArray, EndpointFailure> {
        val expected = response.headers[CHECKSUM_HEADER].orEmpty()
        val found = response.body.bytes.sha256Hex()
        if (expected == found) return Ok(response.body.bytes)
        return Err(EndpointFailure.Malformed(address.text, "a block with SHA-256 \"$expected\"", found))
    }

    private fun blockPath(piece: String, generation: Long) = "/v1/blocks/$piece?generation=$generation"

    private companion object {
        const val CHECKSUM_HEADER = "Content-Digest"
        const val DEFAULT_CALL_TIMEOUT_MILLIS = 10_000L
        const val POOL_SIZE = 32
    }
}
