package org.parsleymoor.clients

import com.github.michaelbull.result.Result
import kotlinx.serialization.Serializable

/** Client of a KV cache store at one address. Every function suspends until the store responds or times out. */
public interface StoreClient : CacheClient {
    /** Writes the block [piece] as [generation]; it can be read once all its bytes are committed. */
    public suspend fun write(piece: String, generation: Long, bytes: ByteArray): Result<Unit, EndpointFailure>

    /** Reads the block [piece] of [generation]; a SHA-256 mismatch is [EndpointFailure.Malformed] (invariant I1). */
    public suspend fun read(piece: String, generation: Long): Result<ByteArray, EndpointFailure>

    /** Deletes the block [piece]. */
    public suspend fun delete(piece: String): Result<Unit, EndpointFailure>

    /** Moves the block [piece] of [generation] to [tier]; a store without free memory refuses. */
    public suspend fun move(piece: String, generation: Long, tier: BlockTier): Result<Unit, EndpointFailure>

    /** Reads the load report. */
    public suspend fun load(): Result<StoreLoad, EndpointFailure>
}

/** Load report of a store; [startCount] counts its starts. */
@Serializable
public data class StoreLoad(
    public val startCount: Long,
    public val memoryBytes: Long,
    public val memoryCapacityBytes: Long,
    public val diskBytes: Long,
    public val diskCapacityBytes: Long,
    public val queuedBytes: Long,
)
