package org.parsleymoor.relay.routing

import org.parsleymoor.core.OrganisationId
import org.parsleymoor.core.RegionId
import org.parsleymoor.core.ZoneId

/** What may be repeated of a request. */
public enum class RequestKind { IDEMPOTENT, NON_IDEMPOTENT, STREAM }

/** A service that a share of a route's requests goes to, in proportion to [weight]. */
public data class RouteTarget(public val service: String, public val weight: Double)

/**
 * Where requests for [host] below [pathPrefix] go. [attempts] bounds the endpoints that run one caller's attempt;
 * [timeoutMillis] bounds the wait; within [objectiveMillis] an answer has its full value, a stream with pauses of at
 * most [pauseMillis]. Priority 0 is the most urgent. A [resumable] stream may go on at another endpoint. No
 * [allowedRegions] means all regions.
 */
public data class Route(
    public val name: String,
    public val host: String,
    public val pathPrefix: String,
    public val kind: RequestKind,
    public val targets: List<RouteTarget>,
    public val timeoutMillis: Long,
    public val objectiveMillis: Long,
    public val attempts: Int = 1,
    public val priority: Int = 0,
    public val isPublic: Boolean = false,
    public val resumable: Boolean = false,
    public val allowedRegions: Set<RegionId> = emptySet(),
    public val pauseMillis: Long = 0,
) {
    /** Whether a request may run again after a run whose outcome is unknown. */
    public val repeatable: Boolean
        get() = when (kind) {
            RequestKind.IDEMPOTENT -> true
            RequestKind.NON_IDEMPOTENT -> false
            RequestKind.STREAM -> resumable
        }
}

/** Figures of a service's engines: [slots] requests and [cacheTokens] tokens of KV cache of [tokenBytes] bytes each. */
public data class EngineSpec(
    public val slots: Int,
    public val cacheTokens: Long,
    public val tokenBytes: Long,
    public val models: List<String>,
)

/** A KV cache store at [address] in [zone]; it holds [cacheTokens] tokens and drops nothing when [managed]. */
public data class CacheStoreSpec(
    public val address: String,
    public val zone: ZoneId,
    public val cacheTokens: Long,
    public val managed: Boolean,
    public val linkMegabits: Double,
    public val pendingEventCalls: Int,
)

/**
 * A group of endpoints. All callers together may open [connectionLimit] connections to one. For [coldMillis] after its
 * start an endpoint bears [coldRequestsPerSecond].
 */
public data class Service(
    public val name: String,
    public val connectionLimit: Int,
    public val coldMillis: Long,
    public val coldRequestsPerSecond: Double,
    public val engine: EngineSpec? = null,
    public val store: CacheStoreSpec? = null,
)

/** An organisation, its API keys and what goes before its routes: a more urgent [priority], its own regions. */
public data class Organisation(
    public val id: OrganisationId,
    public val keys: Set<String>,
    public val priority: Int? = null,
    public val isolated: Boolean = false,
    public val allowedRegions: Set<RegionId> = emptySet(),
)

/** What callers may send, and how long they may take or stay idle. */
public data class CallerLimits(
    public val headBytes: Int = 16_384,
    public val bodyBytes: Int = 4_194_304,
    public val headMillis: Long = 3_000,
    public val idleMillis: Long = 15_000,
)

/** One accepted [version] of the whole configuration. No [organisations] means that requests carry no key. */
public data class ServingConfiguration(
    public val version: Long,
    public val routes: List<Route>,
    public val services: Map<String, Service>,
    public val organisations: List<Organisation>?,
    public val limits: CallerLimits,
)
