package org.parsleymoor.entry.serving

import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.RequestId
import org.parsleymoor.entry.callers.CallerRequest
import org.parsleymoor.relay.admission.admissionRank
import org.parsleymoor.relay.http.HeldBody
import org.parsleymoor.relay.limits.HeldBytes
import org.parsleymoor.relay.placement.PlacementQuery
import org.parsleymoor.relay.prompt.PromptContext
import org.parsleymoor.relay.quarantine.ContentKey
import org.parsleymoor.relay.quarantine.sharedPartKeys
import org.parsleymoor.relay.routing.Organisation
import org.parsleymoor.relay.routing.RequestKind
import org.parsleymoor.relay.routing.Route
import org.parsleymoor.relay.routing.Service

/**
 * How long a caller that waits [waitMillis] for the complete response waits for its first byte. Callers abandon a
 * stream without a first event after two seconds, four times the route's objective or eight times the longest pause
 * between events that still meets the objective, whichever is longest.
 */
internal fun Route.firstByteWaitMillis(waitMillis: Long): Long = when (kind) {
    RequestKind.STREAM -> minOf(
        waitMillis,
        maxOf(
            STREAM_FIRST_BYTE_MILLIS,
            objectiveMillis * STREAM_FIRST_BYTE_OBJECTIVES,
            pauseMillis * STREAM_FIRST_BYTE_PAUSES,
        ),
    )
    RequestKind.IDEMPOTENT, RequestKind.NON_IDEMPOTENT -> waitMillis
}

// Defined by the protocol of the callers.
private const val STREAM_FIRST_BYTE_MILLIS = 2_000L
private const val STREAM_FIRST_BYTE_OBJECTIVES = 4
private const val STREAM_FIRST_BYTE_PAUSES = 8

/** The sender of a request: its [organisation], whether an API key was required, and how long it waits. */
internal class Caller(val organisation: Organisation?, val keyRequired: Boolean, val waitMillis: Long)

/** A request of a caller and the progress of its delivery. Times are on this daemon's clock. */
internal class PendingRequest(
    val id: RequestId,
    val request: CallerRequest,
    val route: Route,
    val service: Service,
    val caller: Caller,
    val prompt: PromptContext?,
) {
    /** The organisation that the caller's API key belongs to, or null. */
    val organisation: Organisation? get() = caller.organisation

    /** Deadline set by the route's timeout. */
    val routeDeadlineMillis: Long get() = request.receivedMillis + route.timeoutMillis

    /** Deadline stated by the caller, or the route's if it states none. */
    val callerDeadlineMillis: Long get() = request.receivedMillis + caller.waitMillis

    /** The earlier of the two deadlines; nothing is sent or awaited after it. */
    val deadlineMillis: Long get() = minOf(routeDeadlineMillis, callerDeadlineMillis)

    /** When the caller stops waiting for the first byte of the response. */
    val firstByteDeadlineMillis: Long get() = minOf(
        deadlineMillis,
        request.receivedMillis + route.firstByteWaitMillis(caller.waitMillis),
    )

    /** Tells this request from all others, and holds nothing of it. */
    val identity = Any()

    /** Endpoints already tried, which are chosen again only for a stream that has begun. */
    val tried = HashSet<EndpointId>()

    /** Number of attempts, including those in which nothing was sent. */
    var attemptCount = 0

    /** Number of times the request was sent to an endpoint. */
    var sendCount = 0

    /** Scope of the last send, or null before the first. */
    var sentScope: SendScope? = null

    /** Number of attempts in which the request ran or may have run. */
    var possibleRuns = 0

    /** Whether the request goes to the release to which traffic moves, or null before its first placement. */
    var toTargetRelease: Boolean? = null

    private val heldBodies = ArrayList<HeldBody>()

    /** Starts a body in the account [held] that is released with this request at the latest. */
    fun holdBody(held: HeldBytes): HeldBody = HeldBody(held).also { heldBodies += it }

    /** Releases everything that is held for this request, which has ended. */
    fun releaseBodies() {
        heldBodies.forEach { it.release() }
    }

    /** Id of the last event that was relayed to the caller, or null. */
    var lastEventId: String? = null

    /** When the first byte of a streamed response was relayed, or null. */
    var firstByteMillis: Long? = null

    /** Whether events of a stream have been relayed. */
    var streamStarted = false

    /** When the last event that continued the stream was relayed, or null. */
    var lastEventMillis: Long? = null

    /** When the caller stops waiting for the next event of a stream that has begun, or null before that. */
    val nextEventDeadlineMillis: Long?
        get() = lastEventMillis?.let { minOf(deadlineMillis, it + route.firstByteWaitMillis(caller.waitMillis)) }

    /** Keys of the parts of the prompt that other prompts may share; empty without a prompt. */
    val sharedParts: Set<ContentKey> by lazy(LazyThreadSafetyMode.NONE) { prompt?.sharedPartKeys.orEmpty() }

    /** Key of the whole request. Computed when it is first needed, as it takes time that depends on the body. */
    val key: ContentKey by lazy(LazyThreadSafetyMode.NONE) { computeKey() }

    /** Priority of the request; 0 is the highest. */
    val urgency: Int get() = organisation?.priority ?: route.priority

    /** Rank of the request where not all can be admitted; the least goes first. */
    val rank: Int get() = admissionRank(urgency, route.priority)

    /** Describes the request, which is to be sent in [scope], for placement at [nowMillis]. */
    fun placeRequest(scope: SendScope, nowMillis: Long): PlacementQuery = PlacementQuery(
        service = service.name,
        allowedRegions = scope.allowedRegions,
        tried = tried,
        remainingMillis = deadlineMillis - nowMillis,
        objectiveMillis = route.objectiveMillis,
        urgency = rank,
        isRetry = caller.waitMillis < route.timeoutMillis * FIRST_ATTEMPT_SHARE,
        hasBegun = streamStarted,
    )

    private companion object {
        // A caller's first attempt has all or nearly all of the route's timeout; one with less is a retry.
        const val FIRST_ATTEMPT_SHARE = 0.95
    }
}
