package org.parsleymoor.clients

import com.github.michaelbull.result.Result
import kotlinx.coroutines.flow.Flow
import org.parsleymoor.core.AttemptId

/**
 * An engine at one address. Another engine is fitted by another implementation; `docs/engine-protocol.md` lists the
 * calls. Every function suspends until the engine has answered or its time is up.
 */
public interface EngineClient : CacheClient {
    /**
     * Starts [request] and returns its events in order of arrival. The flow fails with a
     * [org.parsleymoor.core.FailureException] that carries a [EndpointFailure] when the stream breaks, stays silent for
     * [silenceMillis] or ends with no final event. Cancelling the collection closes the connection.
     */
    public fun generate(request: GenerateRequest, silenceMillis: Long = DEFAULT_SILENCE_MILLIS): Flow<EngineEvent>

    /** Asks the engine to stop [attempt]; an attempt that it does not know is no failure. */
    public suspend fun cancel(attempt: AttemptId): Result<Unit, EndpointFailure>

    /** Reads the load report. */
    public suspend fun load(): Result<EngineLoad, EndpointFailure>

    /** Copies blocks from the engine to a store. */
    public suspend fun export(transfer: TransferRequest): Result<TransferResult, EndpointFailure>

    /** Copies blocks from a store to the engine. */
    public suspend fun import(transfer: TransferRequest): Result<TransferResult, EndpointFailure>

    /** Gives an order. */
    public suspend fun order(order: EngineOrder): Result<EngineLoad, EndpointFailure>

    public companion object {
        /** Time without an event after which a stream counts as silent. */
        public const val DEFAULT_SILENCE_MILLIS: Long = 5_000
    }
}
