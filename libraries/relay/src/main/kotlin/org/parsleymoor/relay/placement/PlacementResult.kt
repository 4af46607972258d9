package org.parsleymoor.relay.placement

import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.RegionId
import org.parsleymoor.relay.admission.UrgentNeed
import org.parsleymoor.relay.fleet.EndpointState
import org.parsleymoor.relay.zones.SpilloverTerms

/** Why no endpoint is selected for a request. */
public enum class UnavailableReason { NO_ENDPOINT, NO_WEIGHTS, COLD, OVERLOADED, PAUSED, LIMITED }

/** A request that needs an endpoint; endpoints in [tried] have already received it and are excluded. */
public data class PlacementQuery(
    public val service: String,
    public val allowedRegions: List<Set<RegionId>>,
    public val tried: Set<EndpointId> = emptySet(),
    public val remainingMillis: Long,
    public val objectiveMillis: Long,
    public val urgency: Int,
    /** Whether the caller has probably been refused before: it waits for less time than its route allows. */
    public val isRetry: Boolean = false,
    /**
     * Whether the request already has an endpoint. It is then sent to another one only if that is expected to accept
     * it; otherwise an endpoint that will probably refuse is better than none.
     */
    public val isSuccessor: Boolean = false,
    /** Whether a part of the response has been relayed, so that the request cannot be refused any more. */
    public val hasBegun: Boolean = false,
    /** On which terms a prompt may be served outside its availability zone, or null where only distances count. */
    public val spillover: SpilloverTerms? = null,
    /** Which endpoints may receive the request, beside the other rules. */
    public val accepts: (EndpointState) -> Boolean = { true },
    /** What more urgent requests for the same service need, which callers asked for lately. */
    public val moreUrgent: List<UrgentNeed> = emptyList(),
)

/** The endpoint selected for a request, or the reason why there is none. */
public sealed interface PlacementResult {
    /**
     * The request goes to [endpoint]; [estimateMillis] is the expected time to its first byte. [distanceMillis] of it
     * are spent on the way, in the rest work takes [workFactor] times as long as usual.
     */
    public data class Selected(
        public val endpoint: EndpointState,
        public val estimateMillis: Double,
        public val distanceMillis: Double = 0.0,
        public val workFactor: Double = 1.0,
    ) : PlacementResult

    /** No endpoint can serve the request in time; the caller may retry after [retryAfterMillis]. */
    public data class Unavailable(
        public val reason: UnavailableReason,
        public val retryAfterMillis: Long,
    ) : PlacementResult
}

/**
 * Returns these endpoints. If there are none, returns [lastResort], which will probably refuse or fail, unless [query]
 * has an endpoint already.
 */
internal fun List<EndpointState>.orLastResort(
    query: PlacementQuery,
    lastResort: List<EndpointState>,
): List<EndpointState> = if (isEmpty() && !query.isSuccessor) lastResort else this

/** Whether this endpoint has refused a request a moment ago, and is likely to refuse the next one too. */
internal fun EndpointState.hasRefused(nowMillis: Long): Boolean = refusedMillis > nowMillis - REFUSAL_MILLIS

// An engine that refuses a request is full or is loading weights, which takes about a second.
private const val REFUSAL_MILLIS = 700L
