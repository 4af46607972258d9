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
 * Asks an engine to generate. [pieces] are the chained hashes of the prompt's full pieces, in order, in lower-case
 * hexadecimal; [prompt] is the whole text. [resumeAfterTokens] is the number of tokens that the caller already has,
 * whose text is [resumeText]; the engine's first token follows them.
 * [traceParent] travels in the `traceparent` header.
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

/** One line of an engine's answer stream, in newline-delimited JSON. */
@Serializable
public sealed interface EngineEvent {
    /** The attempt that the line belongs to. */
    public val attempt: AttemptId

    /** First line: [startCount] counts the engine's starts, [cachedPieces] the leading pieces found in its memory. */
    @Serializable
    @SerialName("start")
    public data class Started(
        override val attempt: AttemptId,
        public val startCount: Long,
        public val version: WeightVersion,
        public val cachedPieces: Int,
        public val recomputedPieces: Int,
    ) : EngineEvent

    /** A token's [text]; [sequence] counts from 0 within the attempt. */
    @Serializable
    @SerialName("token")
    public data class Token(
        override val attempt: AttemptId,
        public val sequence: Int,
        public val text: String,
    ) : EngineEvent

    /** Last line: [tokens] is the number of token lines of this attempt. */
    @Serializable
    @SerialName("final")
    public data class Final(
        override val attempt: AttemptId,
        public val tokens: Int,
        public val reason: String = "stop",
    ) : EngineEvent
}

/** Why an engine refused a request before running it. */
@Serializable
public enum class EngineRefusalReason { COLD, FULL, VERSION_NOT_LOADED, BAD_REQUEST, STALE_FENCING, STOPPING }

/** Body of an engine's refusal; the request was not run. */
@Serializable
public data class EngineRefusal(
    public val reason: EngineRefusalReason,
    public val detail: String,
    public val retryAfterMillis: Long = 0,
)

/** An engine's load report, taken at [reportedAtMillis] on the engine's own clock and older than that when read. */
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

/** A model version that an engine holds; [loading] until its weights are complete. */
@Serializable
public data class LoadedVersion(
    public val model: ModelId,
    public val version: WeightVersion,
    public val loading: Boolean = false,
    public val adapters: List<AdapterId> = emptyList(),
)

/** What happened to a block in an engine's or a store's cache. */
@Serializable
public enum class CacheEventKind { STORED, EVICTED }

/** The tier of a store that a block lies in; an engine has one tier and reports [MEMORY]. */
@Serializable
public enum class BlockTier { MEMORY, DISK }

/** One change of a cache; [sequence] rises by one for each event of one start of the source. */
@Serializable
public data class CacheEvent(
    public val sequence: Long,
    public val kind: CacheEventKind,
    public val piece: String,
    public val generation: Long,
    public val bytes: Long,
    public val tier: BlockTier = BlockTier.MEMORY,
)

/** Events after the sequence asked for; [oldestSequence] above that plus one means that events were dropped. */
@Serializable
public data class CacheEvents(
    public val startCount: Long,
    public val oldestSequence: Long,
    public val newestSequence: Long,
    public val events: List<CacheEvent>,
)

/** The whole content of a cache as of [sequence]. */
@Serializable
public data class CacheSnapshot(
    public val startCount: Long,
    public val sequence: Long,
    public val blocks: List<CachedBlock>,
)

/** One block of a cache. */
@Serializable
public data class CachedBlock(
    public val piece: String,
    public val generation: Long,
    public val bytes: Long,
    public val tier: BlockTier = BlockTier.MEMORY,
)

/** Copies the blocks of [pieces] between the engine and the store at [storeAddress]. */
@Serializable
public data class TransferRequest(public val storeAddress: String, public val pieces: List<TransferPiece>)

/** A piece to copy; [generation] is the store's generation on import and is chosen by the store on export. */
@Serializable
public data class TransferPiece(public val piece: String, public val generation: Long = 0)

/** The pieces that were copied whole and those that were not, each with the generation that it has now. */
@Serializable
public data class TransferResult(
    public val copied: List<TransferPiece>,
    public val failed: List<String>,
    public val bytes: Long,
)

/** An idempotent order: the engine reaches [wanted] or refuses. [fencing] is the lease's fencing number. */
@Serializable
public data class EngineOrder(
    public val order: String,
    public val fencing: Long,
    public val wanted: DesiredState,
)

/** The state an order asks for. */
@Serializable
public sealed interface DesiredState {
    /** The engine holds [version] of [model]. */
    @Serializable
    @SerialName("loaded")
    public data class Loaded(public val model: ModelId, public val version: WeightVersion) : DesiredState

    /** The engine no longer holds [version] of [model]. */
    @Serializable
    @SerialName("unloaded")
    public data class Unloaded(public val model: ModelId, public val version: WeightVersion) : DesiredState

    /** The engine holds [adapter] for [model]. */
    @Serializable
    @SerialName("adapter")
    public data class AdapterLoaded(public val model: ModelId, public val adapter: AdapterId) : DesiredState

    /** The engine works in [role], for example `serve` or `prefill`. */
    @Serializable
    @SerialName("role")
    public data class Role(public val role: String) : DesiredState
}
