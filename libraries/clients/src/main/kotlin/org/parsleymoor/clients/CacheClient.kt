package org.parsleymoor.clients

import com.github.michaelbull.result.Result

/** Reports the blocks in the cache of an engine or a store. */
public interface CacheClient {
    /** Reads the cache events after [sequence]. */
    public suspend fun cacheEvents(sequence: Long): Result<CacheEvents, EndpointFailure>

    /** Reads the list of all blocks; a store leaves out blocks that are not committed. */
    public suspend fun cacheSnapshot(): Result<CacheSnapshot, EndpointFailure>
}
