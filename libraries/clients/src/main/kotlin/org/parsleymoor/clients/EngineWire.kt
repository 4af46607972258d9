package org.parsleymoor.clients

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.Transient
import org.parsleymoor.core.AdapterId
import org.parsleymoor.core.AttemptId
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.OrganisationId
import org.parsleymoor.core.RequestId
import org.parsleymoor.core.WeightVersion

/**
 * A request to generate a completion of [prompt]. [pieces] are the chained hashes, in lower-case hexadecimal, of the
 * prompt's full pieces (blocks of fixed length) in order. To resume an interrupted generation, [resumeAfterTokens] is
 * the number of tokens already received and [resumeText] their text; generation continues after them. [traceParent] is
 * sent as the `traceparent` header.
 */
@Serializable
public data class GenerateRequest(
    public val request: RequestId,
    public val attempt: AttemptId,
    public val organisation: OrganisationId,
    public val model: ModelId,
    public val version: WeightVersion,
    public val adapter: AdapterId = AdapterId.None,
    public val priority: Int = 0,
    public val prompt: String,
    public val pieces: List<String> = emptyList(),
    public val maximumTokens: Int,
    public val resumeAfterTokens: Int = 0,
    public val resumeText: String = "",
    @Transient
    public val traceParent: String = "",
)

/** One line of an engine's response stream of newline-delimited JSON. */
@Serializable
public sealed interface EngineEvent {
    /** The attempt that the line belongs to. */
    public val attempt: AttemptId

    /** First line. [startCount] counts the engine's starts; [cachedPieces] of the leading pieces were in its cache. */
    @Serializable
    @SerialName("start")
    public data class Started(
        override val attempt: AttemptId,
        public val startCount: Long,
        public val version: WeightVersion,
        public val cachedPieces: Int,
        public val recomputedPieces: Int,
    ) : EngineEvent

    /** A generated token; [sequence] starts at 0 for each attempt. */
    @Serializable
    @SerialName("token")
    public data class Token(
        override val attempt: AttemptId,
        public val sequence: Int,
        public val text: String,
    ) : EngineEvent

    /** Last line. [tokens] is the number of tokens sent in this attempt. */
    @Serializable
    @SerialName("final")
    public data class Final(
        override val attempt: AttemptId,
        public val tokens: Int,
        public val reason: String = "stop",
    ) : EngineEvent
}

/** Why an engine refused a request without running it. */
@Serializable
public enum class EngineRefusalReason { COLD, FULL, VERSION_NOT_LOADED, BAD_REQUEST, STALE_FENCING, STOPPING }

/** Body of an engine's refusal of a request that it did not run. */
@Serializable
public data class EngineRefusal(
    public val reason: EngineRefusalReason,
    public val detail: String,
    public val retryAfterMillis: Long = 0,
)

/** Load report of an engine, created at [reportedAtMillis] on the engine's clock. */
@Serializable
public data class EngineLoad(
    public val endpoint: EndpointId,
    public val startCount: Long,
    public val cold: Boolean,
    public val running: Int,
    public val queued: Int,
    public val queuedPrefillTokens: Long,
    public val cachedBytes: Long,
    public val cacheCapacityBytes: Long,
    public val versions: List<LoadedVersion>,
    public val role: String,
    public val reportedAtMillis: Long,
)

/** A model version on an engine; [loading] is true until its weights are fully loaded. */
@Serializable
public data class LoadedVersion(
    public val model: ModelId,
    public val version: WeightVersion,
    public val loading: Boolean = false,
    public val adapters: List<AdapterId> = emptyList(),
)

/** What happened to a block in the cache of an engine or a store. */
@Serializable
public enum class CacheEventKind { STORED, EVICTED }

/** The storage tier of a block; an engine has one tier and reports [MEMORY]. */
@Serializable
public enum class BlockTier { MEMORY, DISK }

/** One change of a cache. [sequence] increases by one per event and restarts with the source. */
@Serializable
public data class CacheEvent(
    public val sequence: Long,
    public val kind: CacheEventKind,
    public val piece: String,
    public val generation: Long,
    public val bytes: Long,
    public val tier: BlockTier = BlockTier.MEMORY,
)

/**
 * The events after a requested sequence number. Events were dropped if [oldestSequence] is greater than that number
 * plus one.
 */
@Serializable
public data class CacheEvents(
    public val startCount: Long,
    public val oldestSequence: Long,
    public val newestSequence: Long,
    public val events: List<CacheEvent>,
)

/** All blocks of a cache as of the event [sequence]. */
@Serializable
public data class CacheSnapshot(
    public val startCount: Long,
    public val sequence: Long,
    public val blocks: List<CachedBlock>,
)

@Serializable
public data class CachedBlock(
    public val piece: String,
    public val generation: Long,
    public val bytes: Long,
    public val tier: BlockTier = BlockTier.MEMORY,
)

/** A request to copy the blocks of [pieces] between the engine and the store at [storeAddress]. */
@Serializable
public data class TransferRequest(public val storeAddress: String, public val pieces: List<TransferPiece>)

/** A block to copy. On import, [generation] is the one in the store; on export, the store assigns it. */
@Serializable
public data class TransferPiece(public val piece: String, public val generation: Long = 0)

/** The blocks that were copied completely, with their generation in the target, and those that were not. */
@Serializable
public data class TransferResult(
    public val copied: List<TransferPiece>,
    public val failed: List<String>,
    public val bytes: Long,
)

/** An idempotent order to reach the state [wanted]. [fencing] is the fencing token of the sender's lease. */
@Serializable
public data class EngineOrder(
    public val order: String,
    public val fencing: Long,
    public val wanted: DesiredState,
)

/** The state that an order asks an engine to reach. */
@Serializable
public sealed interface DesiredState {
    /** The engine has [version] of [model] loaded. */
    @Serializable
    @SerialName("loaded")
    public data class Loaded(public val model: ModelId, public val version: WeightVersion) : DesiredState

    /** The engine does not have [version] of [model] loaded. */
    @Serializable
    @SerialName("unloaded")
    public data class Unloaded(public val model: ModelId, public val version: WeightVersion) : DesiredState

    /** The engine has [adapter] of [model] loaded. */
    @Serializable
    @SerialName("adapter")
    public data class AdapterLoaded(public val model: ModelId, public val adapter: AdapterId) : DesiredState

    /** The engine runs in [role], for example `serve` or `prefill`. */
    @Serializable
    @SerialName("role")
    public data class Role(public val role: String) : DesiredState
}
