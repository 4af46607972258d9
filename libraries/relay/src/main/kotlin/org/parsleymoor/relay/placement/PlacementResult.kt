package org.parsleymoor.relay.placement

import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.RegionId
import org.parsleymoor.relay.fleet.EndpointState

/** Why no endpoint gets a request. */
public enum class UnavailableReason { NO_ENDPOINT, NO_WEIGHTS, COLD, OVERLOADED }

/** What is known of a request when its endpoint is chosen; [tried] endpoints have had it. */
public data class PlacementQuery(
    public val service: String,
    public val allowedRegions: List<Set<RegionId>>,
    public val tried: Set<EndpointId> = emptySet(),
    public val remainingMillis: Long,
    public val objectiveMillis: Long,
    public val urgency: Int,
    /** Whether the caller has probably been refused before, because it has less time than its route gives. */
    public val isRetry: Boolean = false,
)

/** Where a request goes, or that it is refused and when its caller may come back. */
public sealed interface PlacementResult {
    /** The request goes to [endpoint]; [estimateMillis] is the expected time to its first byte. */
    public data class Selected(public val endpoint: EndpointState, public val estimateMillis: Double) : PlacementResult

    /** No endpoint can serve the request in time; [retryAfterMillis] is when that is expected to change. */
    public data class Unavailable(
        public val reason: UnavailableReason,
        public val retryAfterMillis: Long
    ) : PlacementResult
}
