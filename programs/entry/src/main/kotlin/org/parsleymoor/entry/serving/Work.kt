package org.parsleymoor.entry.serving

import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.RegionId
import org.parsleymoor.core.RequestId
import org.parsleymoor.entry.callers.CallerRequest
import org.parsleymoor.relay.placement.PlacementQuery
import org.parsleymoor.relay.prompt.PromptContext
import org.parsleymoor.relay.routing.Organisation
import org.parsleymoor.relay.routing.RequestKind
import org.parsleymoor.relay.routing.Route
import org.parsleymoor.relay.routing.Service

/**
 * How long the caller of a request on this route waits for the answer to begin, when it waits [waitMillis] for the
 * whole. Callers give up a stream whose first event does not come for two seconds, four objectives and eight times the
 * longest pause that is in time.
 */
internal fun Route.beginMillis(waitMillis: Long): Long = when (kind) {
    RequestKind.STREAM -> minOf(
        waitMillis,
        maxOf(STREAM_BEGIN_MILLIS, objectiveMillis * STREAM_BEGIN_OBJECTIVES, pauseMillis * STREAM_BEGIN_PAUSES),
    )
    RequestKind.IDEMPOTENT, RequestKind.NON_IDEMPOTENT -> waitMillis
}

// From the users' protocol.
private const val STREAM_BEGIN_MILLIS = 2_000L
private const val STREAM_BEGIN_OBJECTIVES = 4
private const val STREAM_BEGIN_PAUSES = 8

/** Who sent a request: its [organisation], whether it had to show a key, and how long it waits. */
internal class Caller(val organisation: Organisation?, val keyed: Boolean, val waitMillis: Long)

/** One attempt of a caller and what has been done for it so far. Times are on the daemon's clock. */
internal class Work(
    val id: RequestId,
    val request: CallerRequest,
    val route: Route,
    val service: Service,
    val caller: Caller,
    val prompt: PromptContext?,
) {
    /** The organisation of the caller's key. */
    val organisation: Organisation? get() = caller.organisation

    /** When the answer is due for the operators: the route's time limit. */
    val routeLimitMillis: Long get() = request.receivedMillis + route.timeoutMillis

    /** When the caller stops waiting. */
    val callerLimitMillis: Long get() = request.receivedMillis + caller.waitMillis

    /** After this nothing is sent or awaited any more. */
    val limitMillis: Long get() = minOf(routeLimitMillis, callerLimitMillis)

    /** When the caller stops waiting for the answer to begin. */
    val beginLimitMillis: Long get() = minOf(limitMillis, request.receivedMillis + route.beginMillis(caller.waitMillis))

    /** Endpoints that had this request and are not asked again. */
    val tried = HashSet<EndpointId>()

    /** Number of times the request was sent. */
    var sends = 0

    /** Number of endpoints at which the request ran or may have run. */
    var runs = 0

    /** The last event that the caller has. */
    var lastEventId: String? = null

    /** When the first byte of the answer was passed on, or null. */
    var firstByteMillis: Long? = null

    /** Whether events of a stream were delivered in this answer. */
    var started = false

    /** Rank of the request, 0 first. */
    val urgency: Int get() = organisation?.priority ?: route.priority

    /** Regions to which route and organisation each restrict the request. */
    val allowedRegions: List<Set<RegionId>>
        get() = listOf(route.allowedRegions, organisation?.allowedRegions.orEmpty()).filter { it.isNotEmpty() }

    /** Describes the request for the choice of its endpoint at [nowMillis]. */
    fun placeRequest(nowMillis: Long): PlacementQuery = PlacementQuery(
        service = service.name,
        allowedRegions = allowedRegions,
        tried = tried,
        remainingMillis = limitMillis - nowMillis,
        objectiveMillis = route.objectiveMillis,
        urgency = urgency,
        isRetry = caller.waitMillis < route.timeoutMillis * RETURNING_SHARE,
    )

    private companion object {
        // The time of a first attempt is that of its route, or nearly.
        const val RETURNING_SHARE = 0.95
    }
}
