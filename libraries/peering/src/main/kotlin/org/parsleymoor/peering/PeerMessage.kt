package org.parsleymoor.peering

import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.CborArray
import org.parsleymoor.core.AdapterId
import org.parsleymoor.core.AttemptId
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.OrganisationId
import org.parsleymoor.core.RegionId
import org.parsleymoor.core.RequestId
import org.parsleymoor.core.WeightVersion
import org.parsleymoor.core.ZoneId

/** A message between two instances. The first message in each direction of a connection is [Hello]. */
@Serializable
public sealed interface PeerMessage {
    /** Identifies the sender. A peer with another [protocolVersion] is rejected. */
    @OptIn(ExperimentalSerializationApi::class)
    @Serializable
    @SerialName("hello")
    public data class Hello(
        public val incarnation: Incarnation,
        public val zone: ZoneId,
        public val region: RegionId,
        public val address: String,
        // A default value would be omitted from the frame, and the receiver would fill in its own version.
        @EncodeDefault public val protocolVersion: Int = PROTOCOL_VERSION,
    ) : PeerMessage

    /**
     * Shows that the sender is alive. [linkBytesPerSecond] is the sender's recent use of the inter-region link and
     * [loads] are the load reports of endpoints that the receiver does not poll itself.
     */
    @Serializable
    @SerialName("beat")
    public data class Heartbeat(
        public val configurationRevision: Long,
        public val linkBytesPerSecond: Long = 0,
        public val leaving: Boolean = false,
        public val loads: List<EndpointLoadDigest> = emptyList(),
    ) : PeerMessage

    /**
     * Requests the configuration root if it is newer than [haveRevision], and the sections with the content hashes in
     * [sections].
     */
    @Serializable
    @SerialName("cwant")
    public data class ConfigurationWanted(
        public val haveRevision: Long,
        public val sections: List<String> = emptyList(),
    ) : PeerMessage

    /** Delivers the encoded configuration [root] of [revision] and encoded [sections] by content hash. */
    @Serializable
    @SerialName("coffer")
    public data class ConfigurationOffered(
        public val revision: Long,
        public val root: String,
        public val sections: Map<String, String> = emptyMap(),
    ) : PeerMessage

    /**
     * Reports which blocks an endpoint or store holds. Each block is identified by the leading bytes of its piece's
     * hash.
     */
    @Serializable
    @SerialName("cache")
    public data class CacheDigest(
        public val source: EndpointId,
        public val startCount: Long,
        public val sequence: Long,
        public val whole: Boolean,
        public val stored: List<Long> = emptyList(),
        public val evicted: List<Long> = emptyList(),
    ) : PeerMessage

    /**
     * Reports what an instance has observed itself or received from others, and how current its copies of the store's
     * objects are. Also shows that the sender is alive. [passOn] names the scope in which the receiver forwards the
     * report. [era] is the newest era of the store that the sender knows, and the era of all copies in [known].
     * [crashedRequests] are the keys of the whole requests in [crashed], in the same order; [ambiguous] are those of
     * [quarantined] that may be harmless, and [releases] the software on which endpoints crashed on them. They stand by
     * themselves because the build before reads [crashed] and [quarantined] field by field, and so do [paces], the
     * percentages of the usual time that work takes at those engines in [loads] which report it. A sender that sets
     * [wantsInstances] asks for the [instances] that are registered in the store, as one instance read them
     * [instancesAgeMillis] ago; the set is empty in all other messages.
     */
    @Serializable
    @SerialName("news")
    public data class InstanceNews(
        public val passOn: String,
        public val loads: List<EngineLoadDigest> = emptyList(),
        public val silent: List<UnresponsiveEngineDigest> = emptyList(),
        public val sent: List<SentPromptDigest> = emptyList(),
        public val ordered: List<EngineOrderDigest> = emptyList(),
        public val stores: List<CacheStoreDigest> = emptyList(),
        public val known: List<ObjectFreshnessDigest> = emptyList(),
        public val crashed: List<EndpointCrashDigest> = emptyList(),
        public val answered: List<AnsweredPartsDigest> = emptyList(),
        public val quarantined: List<QuarantinedPartDigest> = emptyList(),
        public val leaving: List<LeavingEndpointDigest> = emptyList(),
        public val limits: List<EndpointLimitDigest> = emptyList(),
        public val demands: List<ServiceDemandDigest> = emptyList(),
        public val era: Long = 0,
        public val crashedRequests: List<Long?> = emptyList(),
        public val ambiguous: Set<Long> = emptySet(),
        public val releases: Map<Long, String> = emptyMap(),
        public val paces: Map<EndpointId, Int> = emptyMap(),
        public val measured: List<SpeedEvidenceDigest> = emptyList(),
        public val releaseSteps: List<ReleaseStepDigest> = emptyList(),
        public val releaseReports: List<ReleaseReportDigest> = emptyList(),
        public val wantsInstances: Boolean = false,
        public val instances: Set<InstanceId> = emptySet(),
        public val instancesAgeMillis: Long = 0,
    ) : PeerMessage

    /** Requests the contents of the KV cache store at [store], as far as the receiver knows them. */
    @Serializable
    @SerialName("swant")
    public data class CacheContentsWanted(public val store: String) : PeerMessage

    /** Delivers the contents of a KV cache store, as changes to an empty store. */
    @Serializable
    @SerialName("soffer")
    public data class CacheContentsOffered(public val contents: CacheStoreDigest) : PeerMessage

    /** Requests the objects of [kind] if any of them has changed since [haveRevision] in [era] of the store. */
    @Serializable
    @SerialName("owant")
    public data class ObjectsWanted(
        public val kind: String,
        public val haveRevision: Long,
        public val era: Long = 0,
    ) : PeerMessage

    /**
     * Delivers the objects of [kind] as of [revision] in [era] of the store. If [since] is null, these are all objects; otherwise [objects]
     * are those changed after revision [since], and [removed] names those deleted after it. [states] are the states of
     * those [objects] that have a status, by name.
     */
    @Serializable
    @SerialName("ooffer")
    public data class ObjectsOffered(
        public val kind: String,
        public val revision: Long,
        public val objects: List<OfferedObject>,
        public val since: Long? = null,
        public val removed: List<String> = emptyList(),
        public val era: Long = 0,
        public val states: Map<String, OfferedState> = emptyMap(),
    ) : PeerMessage

    /** A message of one exchange. The side that opens the exchange chooses its number. */
    @Serializable
    public sealed interface ExchangeMessage : PeerMessage {
        /** Number of the exchange, unique within the connection. */
        public val exchange: Long
    }

    /**
     * Asks an instance in another region to run [completion] on [endpoint]. The completion refers to pieces of the
     * prompt's text by hash; [inline] contains the pieces that the sender has not yet sent on this connection.
     */
    @Serializable
    @SerialName("fwd")
    public data class Forward(
        override val exchange: Long,
        public val endpoint: EndpointId,
        public val completion: ForwardedCompletion,
        public val inline: List<TextPiece> = emptyList(),
    ) : ExchangeMessage

    /** Requests the texts of the pieces with these [hashes], concatenated as in [ForwardedCompletion.textPieces]. */
    @OptIn(ExperimentalSerializationApi::class)
    @Serializable
    @SerialName("pwant")
    public data class PiecesWanted(
        override val exchange: Long,
        @ByteString public val hashes: ByteArray,
    ) : ExchangeMessage

    /** Delivers the texts of [pieces]. */
    @Serializable
    @SerialName("pieces")
    public data class Pieces(override val exchange: Long, public val pieces: List<TextPiece>) : ExchangeMessage

    /** The endpoint has started a forwarded completion; the fields are copied from the engine's own report. */
    @Serializable
    @SerialName("started")
    public data class Started(
        override val exchange: Long,
        public val startCount: Long,
        public val version: WeightVersion,
        public val cachedPieces: Int,
        public val recomputedPieces: Int,
    ) : ExchangeMessage

    /** One token of a forwarded completion; [sequence] counts from 0 within the attempt. */
    @Serializable
    @SerialName("chunk")
    public data class Chunk(
        override val exchange: Long,
        public val sequence: Int,
        public val text: String,
    ) : ExchangeMessage

    /** A forwarded completion has ended after [tokens] chunks. */
    @Serializable
    @SerialName("fin")
    public data class Finished(
        override val exchange: Long,
        public val tokens: Int,
        public val reason: String,
    ) : ExchangeMessage

    /**
     * The exchange ended without an answer; [execution] is what the caller may be told about whether the request ran.
     */
    @Serializable
    @SerialName("refused")
    public data class Refused(
        override val exchange: Long,
        public val type: String,
        public val detail: String,
        public val execution: Execution,
        public val retryAfterMillis: Long = 0,
    ) : ExchangeMessage

    /** The side that opened the exchange cancels it. */
    @Serializable
    @SerialName("cancel")
    public data class Cancel(override val exchange: Long) : ExchangeMessage

    /** Asks the issuer of [ticket] to run [call] once. The rest of the call's body follows in [BodyPart]s. */
    @Serializable
    @SerialName("ticket")
    public data class ExecuteTicket(
        override val exchange: Long,
        public val ticket: String,
        public val call: ForwardedCall,
    ) : ExchangeMessage

    /**
     * Asks the owner of the key's shard, or the process that claimed the key if [claimed] is set, to run [call] at most
     * once. The rest of the call's body follows in [BodyPart]s.
     */
    @Serializable
    @SerialName("claim")
    public data class ExecuteClaim(
        override val exchange: Long,
        public val key: String,
        public val call: ForwardedCall,
        public val claimed: Boolean = false,
    ) : ExchangeMessage

    /** The next part of the body of a call or of its answer. */
    @OptIn(ExperimentalSerializationApi::class)
    @Serializable
    @SerialName("part")
    public data class BodyPart(
        override val exchange: Long,
        @ByteString public val bytes: ByteArray,
    ) : ExchangeMessage

    /** The answer to a call that ran. The rest of the answer's body follows in [BodyPart]s. */
    @Serializable
    @SerialName("answer")
    public data class ExecutionAnswer(
        override val exchange: Long,
        public val answer: ForwardedAnswer,
    ) : ExchangeMessage

    public companion object {
        /** Version of the messages in this file; incremented by each change that an older peer cannot decode. */
        public const val PROTOCOL_VERSION: Int = 3
    }
}

/** Whether a request that was refused or lost has been run. */
@Serializable
public enum class Execution { NOT_RUN, RUN, UNKNOWN }

/** An endpoint's load as one instance read it [ageMillis] ago. Encoded without field names to keep heartbeats small. */
@OptIn(ExperimentalSerializationApi::class)
@CborArray
@Serializable
public data class EndpointLoadDigest(
    public val endpoint: EndpointId,
    public val startCount: Long,
    public val running: Int,
    public val queuedTokens: Long,
    public val cold: Boolean,
    public val ageMillis: Long,
)

/** Load, memory and weights of an engine, as one instance read them [ageMillis] ago. Memory is counted in tokens. */
@OptIn(ExperimentalSerializationApi::class)
@CborArray
@Serializable
public data class EngineLoadDigest(
    public val endpoint: EndpointId,
    public val running: Int,
    public val waiting: Int,
    public val prefilling: Int,
    public val memoryUsed: Long,
    public val memoryTotal: Long,
    public val weights: Map<ModelId, Long>,
    public val clockMillis: Long?,
    public val ageMillis: Long,
)

/** An engine that was polled [ageMillis] ago and did not answer. */
@OptIn(ExperimentalSerializationApi::class)
@CborArray
@Serializable
public data class UnresponsiveEngineDigest(public val endpoint: EndpointId, public val ageMillis: Long)

/** An engine to which [holder] is sending orders; [active] is false once it has stopped. */
@OptIn(ExperimentalSerializationApi::class)
@CborArray
@Serializable
public data class EngineOrderDigest(
    public val holder: InstanceId,
    public val endpoint: EndpointId,
    public val active: Boolean,
)

/** Changes to one namespace of a KV cache store. */
@OptIn(ExperimentalSerializationApi::class)
@CborArray
@Serializable
public data class NamespaceDigest(public val namespace: String, public val parts: List<CachedPartDigest>)

/** A part of [tokens] tokens that a KV cache store holds; [held] is false if it has been removed. */
@OptIn(ExperimentalSerializationApi::class)
@CborArray
@Serializable
public data class CachedPartDigest(public val part: String, public val tokens: Long, public val held: Boolean)

/**
 * Changes to a KV cache store between the positions [from] and [to] of its events; [epoch] identifies the start of the
 * store. [lost] is set, without changes, if the store does not answer.
 */
@OptIn(ExperimentalSerializationApi::class)
@CborArray
@Serializable
public data class CacheStoreDigest(
    public val store: String,
    public val epoch: Long,
    public val from: Long,
    public val to: Long,
    public val namespaces: List<NamespaceDigest>,
    public val lost: Boolean,
)

/**
 * How current the sender's copy of the objects of [kind] is: it includes all changes up to [changedRevision], and there
 * were no later ones [ageMillis] ago. [lost] is set if the store does not answer.
 */
@OptIn(ExperimentalSerializationApi::class)
@CborArray
@Serializable
public data class ObjectFreshnessDigest(
    public val kind: String,
    public val changedRevision: Long,
    public val ageMillis: Long,
    public val lost: Boolean,
)

/**
 * A prompt that [origin] sent to an engine [ageMillis] ago: its length in [tokens], the number of tokens that the
 * engine has to prefill ([tokensToRead]), and the hash that identifies its shared parts ([context]).
 */
@OptIn(ExperimentalSerializationApi::class)
@CborArray
@Serializable
public data class SentPromptDigest(
    public val origin: InstanceId,
    public val endpoint: EndpointId,
    public val tokens: Long,
    public val tokensToRead: Long,
    public val context: Long,
    public val ageMillis: Long,
)

/**
 * The connection to [endpoint] ended [ageMillis] ago before it had answered a request of [origin] with prompt [parts],
 * which was sent [sentAgeMillis] ago; [responding] says whether a response had begun. [startMillis] tells one start of
 * the endpoint from another.
 */
@OptIn(ExperimentalSerializationApi::class)
@CborArray
@Serializable
public data class EndpointCrashDigest(
    public val origin: InstanceId,
    public val endpoint: EndpointId,
    public val startMillis: Long?,
    public val ageMillis: Long,
    public val parts: Set<Long>,
    public val sentAgeMillis: Long,
    public val responding: Boolean,
)

/** Prompt [parts] and requests that were suspected of crashes were answered [ageMillis] ago. */
@OptIn(ExperimentalSerializationApi::class)
@CborArray
@Serializable
public data class AnsweredPartsDigest(public val parts: Set<Long>, public val ageMillis: Long)

/**
 * A prompt [part] or a request is quarantined together with its [companions]. The last crash was [lastCrashAgeMillis]
 * ago, and [failedProbes] probes have crashed an endpoint.
 */
@OptIn(ExperimentalSerializationApi::class)
@CborArray
@Serializable
public data class QuarantinedPartDigest(
    public val part: Long,
    public val companions: Set<Long>,
    public val lastCrashAgeMillis: Long,
    public val failedProbes: Int,
)

/** The start [startMillis] of [endpoint] announced that it leaves. */
@OptIn(ExperimentalSerializationApi::class)
@CborArray
@Serializable
public data class LeavingEndpointDigest(public val endpoint: EndpointId, public val startMillis: Long?)

/**
 * The start [startMillis] of [endpoint] names a limit of [perSecond] requests from all instances together, or no longer
 * names one if that is null. A higher [sequence] is newer.
 */
@OptIn(ExperimentalSerializationApi::class)
@CborArray
@Serializable
public data class EndpointLimitDigest(
    public val endpoint: EndpointId,
    public val startMillis: Long?,
    public val perSecond: Double?,
    public val sequence: Long,
)

/**
 * What [origin] measured of the endpoint's speed: the [sum] of the natural logarithms by which [count] answers of it
 * took longer than usual.
 */
@OptIn(ExperimentalSerializationApi::class)
@CborArray
@Serializable
public data class SpeedEvidenceDigest(
    public val origin: InstanceId,
    public val endpoint: EndpointId,
    public val startMillis: Long?,
    public val sum: Double,
    public val count: Double,
)

/** The callers of [origin] send [perSecond] requests for [service]. */
@OptIn(ExperimentalSerializationApi::class)
@CborArray
@Serializable
public data class ServiceDemandDigest(
    public val origin: InstanceId,
    public val service: String,
    public val perSecond: Double,
)

/** An order to move the traffic of [service] to release [target], which was [created] at a revision of the store. */
@OptIn(ExperimentalSerializationApi::class)
@CborArray
@Serializable
public data class ReleaseOrderDigest(
    public val service: String,
    public val target: String,
    public val durationMillis: Long,
    public val created: Long,
)

/** The step with [sequence] of the lease holder with [token] for [order]: [share] of the traffic, in [stage]. */
@OptIn(ExperimentalSerializationApi::class)
@CborArray
@Serializable
public data class ReleaseStepDigest(
    public val order: ReleaseOrderDigest,
    public val token: Long,
    public val sequence: Long,
    public val stage: String,
    public val share: Double,
)

/** Answers on [route] of the target release, of its [endpoint] if that is not null, or of the other releases. */
@OptIn(ExperimentalSerializationApi::class)
@CborArray
@Serializable
public data class ReleaseAnswersDigest(
    public val route: String,
    public val ofTarget: Boolean,
    public val endpoint: EndpointId?,
    public val answered: Long,
    public val failed: Long,
    public val times: List<Long>,
)

/**
 * What [origin] has seen of the releases of a service since [order], which is [orderAgeMillis] old. It has followed
 * [applied] for [appliedMillis]; [flow] counts its requests. [end] and [reason] say how the order ended, if it has.
 */
@OptIn(ExperimentalSerializationApi::class)
@CborArray
@Serializable
public data class ReleaseReportDigest(
    public val origin: InstanceId,
    public val order: ReleaseOrderDigest,
    public val orderAgeMillis: Long,
    public val applied: ReleaseStepDigest?,
    public val appliedMillis: Long,
    public val flow: List<Int>,
    public val answers: List<ReleaseAnswersDigest>,
    public val end: String?,
    public val reason: String?,
)

/** The [status] of an object of the platform's store, and the revision at which it was [created]. */
@OptIn(ExperimentalSerializationApi::class)
@CborArray
@Serializable
public data class OfferedState(public val status: String?, public val created: Long)

/** An object of the platform's store at [revision]. */
@OptIn(ExperimentalSerializationApi::class)
@CborArray
@Serializable
public data class OfferedObject(public val name: String, public val revision: Long, public val content: String)

/**
 * A completion request. Its prompt consists of the texts of [textPieces] in order, followed by [tail]. [textPieces]
 * concatenates hashes of [TextHash.BYTES] bytes each. [contextHash] is the chained hash of the last full context piece
 * in lower-case hexadecimal, or empty if there is none; the receiver uses it to verify the reassembled prompt. Texts
 * are UTF-8 and may end inside a multi-byte character.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public data class ForwardedCompletion(
    public val request: RequestId,
    public val attempt: AttemptId,
    public val organisation: OrganisationId,
    public val model: ModelId,
    public val version: WeightVersion,
    public val adapter: AdapterId = AdapterId.None,
    public val priority: Int = 0,
    public val maximumTokens: Int,
    public val resumeAfterTokens: Int = 0,
    public val resumeText: String = "",
    @ByteString public val textPieces: ByteArray,
    public val contextHash: String,
    @ByteString public val tail: ByteArray,
    public val traceParent: String = "",
)

/** The text of one piece of a prompt, and its hash, which is salted with the organisation. */
@OptIn(ExperimentalSerializationApi::class)
@CborArray
@Serializable
public data class TextPiece(public val hash: TextHash, @ByteString public val text: ByteArray)

/** One header field of a forwarded call. */
@OptIn(ExperimentalSerializationApi::class)
@CborArray
@Serializable
public data class ForwardedHeader(public val name: String, public val value: String)

/**
 * A call to a service group, forwarded unchanged. [body] is the first part of a body of [bodyBytes] bytes, and
 * [remainingMillis] is the time left until the call's deadline.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public data class ForwardedCall(
    public val request: RequestId,
    public val organisation: OrganisationId,
    public val service: String,
    public val method: String,
    public val path: String,
    public val headers: List<ForwardedHeader> = emptyList(),
    public val bodyBytes: Int = 0,
    @ByteString public val body: ByteArray = ByteArray(0),
    public val remainingMillis: Long,
    public val traceParent: String = "",
)

/** The answer to a service call; [body] is the first part of a body of [bodyBytes] bytes. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public data class ForwardedAnswer(
    public val status: Int,
    public val contentType: String = "",
    public val bodyBytes: Int = 0,
    @ByteString public val body: ByteArray = ByteArray(0),
)
