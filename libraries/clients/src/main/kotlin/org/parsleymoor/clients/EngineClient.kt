package org.parsleymoor.clients

import com.github.michaelbull.result.Result
import kotlinx.coroutines.flow.Flow
import org.parsleymoor.core.AttemptId

/**
 * Client of an inference engine at one address. `docs/engine-protocol.md` lists the calls; another kind of engine needs
 * another implementation. Every function suspends until the engine responds or the call times out.
 */
public interface EngineClient : CacheClient {
    /**
     * Starts [request] and returns its events in order of arrival. The flow fails with a
     * [org.parsleymoor.core.FailureException] that carries an [EndpointFailure] if the connection fails, nothing
     * arrives for [silenceMillis] or the stream ends without a final event. Cancelling the collection resets the
     * request.
     */
    public fun generate(request: GenerateRequest, silenceMillis: Long = DEFAULT_SILENCE_MILLIS): Flow<EngineEvent>

    /** Asks the engine to cancel [attempt]; an unknown attempt is not a failure. */
    public suspend fun cancel(attempt: AttemptId): Result<Unit, EndpointFailure>

    /** Reads the load report. */
    public suspend fun load(): Result<EngineLoad, EndpointFailure>

    /** Copies blocks from the engine to a store. */
    public suspend fun export(transfer: TransferRequest): Result<TransferResult, EndpointFailure>

    /** Copies blocks from a store to the engine. */
    public suspend fun import(transfer: TransferRequest): Result<TransferResult, EndpointFailure>

    /** Sends an order and returns the resulting load report. */
    public suspend fun order(order: EngineOrder): Result<EngineLoad, EndpointFailure>

    public companion object {
        /** Time without an event after which a stream fails with [EndpointFailure.Silent]. */
        public const val DEFAULT_SILENCE_MILLIS: Long = 5_000
    }
}
