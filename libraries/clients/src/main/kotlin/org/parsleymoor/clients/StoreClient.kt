package org.parsleymoor.clients

import com.github.michaelbull.result.Result
import kotlinx.serialization.Serializable

/** A KV cache store at one address. Every function suspends until the store has answered or its time is up. */
public interface StoreClient : CacheClient {
    /** Writes the whole block [piece] under [generation]; it is readable once its last byte is committed. */
    public suspend fun write(piece: String, generation: Long, bytes: ByteArray): Result<Unit, EndpointFailure>

    /** Reads the block [piece] of [generation]; bytes whose SHA-256 differs are [EndpointFailure.Malformed] (I1). */
    public suspend fun read(piece: String, generation: Long): Result<ByteArray, EndpointFailure>

    /** Frees the block [piece]. */
    public suspend fun delete(piece: String): Result<Unit, EndpointFailure>

    /** Moves the block [piece] of [generation] to [tier]; a store without room in memory refuses. */
    public suspend fun move(piece: String, generation: Long, tier: BlockTier): Result<Unit, EndpointFailure>

    /** Reads the load report. */
    public suspend fun load(): Result<StoreLoad, EndpointFailure>
}

/** A store's load report. Sizes are bytes. */
@Serializable
public data class StoreLoad(
    public val startCount: Long,
    public val memoryBytes: Long,
    public val memoryCapacityBytes: Long,
    public val diskBytes: Long,
    public val diskCapacityBytes: Long,
    public val queuedBytes: Long,
)
