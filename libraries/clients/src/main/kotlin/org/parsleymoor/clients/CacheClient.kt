package org.parsleymoor.clients

import com.github.michaelbull.result.Result

/** What engines and stores have in common: both report the blocks that they hold. */
public interface CacheClient {
    /** Reads the cache events after [sequence]. */
    public suspend fun cacheEvents(sequence: Long): Result<CacheEvents, EndpointFailure>

    /** Reads the whole content; a store leaves out blocks that are not committed. */
    public suspend fun cacheSnapshot(): Result<CacheSnapshot, EndpointFailure>
}
