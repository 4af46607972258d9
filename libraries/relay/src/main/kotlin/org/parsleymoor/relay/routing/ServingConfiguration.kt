package org.parsleymoor.relay.routing

import org.parsleymoor.core.OrganisationId
import org.parsleymoor.core.RegionId
import org.parsleymoor.core.ZoneId

/** How a request may be retried. */
public enum class RequestKind { IDEMPOTENT, NON_IDEMPOTENT, STREAM }

/** A service that receives a route's requests in proportion to [weight]. */
public data class RouteTarget(public val service: String, public val weight: Double)

/**
 * Routes requests for [host] whose path starts with [pathPrefix]. At most [attempts] endpoints run one caller's
 * request, within [timeoutMillis]. An answer has its full value when it comes within [objectiveMillis], and a stream
 * when its pauses are also at most [pauseMillis]. Priority 0 is the most urgent. A [resumable] stream may continue at
 * another endpoint. An empty set of [allowedRegions] allows every region.
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
    /** Whether a request may be retried after an attempt whose outcome is unknown. */
    public val repeatable: Boolean
        get() = when (kind) {
            RequestKind.IDEMPOTENT -> true
            RequestKind.NON_IDEMPOTENT -> false
            RequestKind.STREAM -> resumable
        }
}

/**
 * Properties of a service's engines: each runs [slots] requests at a time and has a KV cache of [cacheTokens] tokens of
 * [tokenBytes] bytes.
 */
public data class EngineSpec(
    public val slots: Int,
    public val cacheTokens: Long,
    public val tokenBytes: Long,
    public val models: List<String>,
)

/**
 * A KV cache store at [address] in [zone] with space for [cacheTokens] tokens. A [managed] store evicts nothing by
 * itself. [pendingEventCalls] is the number of event calls that may wait at it.
 */
public data class CacheStoreSpec(
    public val address: String,
    public val zone: ZoneId,
    public val cacheTokens: Long,
    public val managed: Boolean,
    public val linkMegabits: Double,
    public val pendingEventCalls: Int,
)

/**
 * A group of endpoints. All instances together may open [connectionLimit] connections to each endpoint. For
 * [coldMillis] after its start an endpoint can serve only [coldRequestsPerSecond].
 */
public data class Service(
    public val name: String,
    public val connectionLimit: Int,
    public val coldMillis: Long,
    public val coldRequestsPerSecond: Double,
    public val engine: EngineSpec? = null,
    public val store: CacheStoreSpec? = null,
)

/**
 * An organisation and its API [keys]. A [priority] replaces that of the route, and [allowedRegions] restrict requests
 * in addition to the route's. An [isolated] organisation shares no cached blocks with others.
 */
public data class Organisation(
    public val id: OrganisationId,
    public val keys: Set<String>,
    public val priority: Int? = null,
    public val isolated: Boolean = false,
    public val allowedRegions: Set<RegionId> = emptySet(),
)

/** Limits on what callers may send, how long a request head may take, and how long a connection may stay idle. */
public data class CallerLimits(
    public val headBytes: Int = 16_384,
    public val bodyBytes: Int = 4_194_304,
    public val headMillis: Long = 3_000,
    public val idleMillis: Long = 15_000,
)

/** One [version] of the whole configuration. When [organisations] is null, requests need no API key. */
public data class ServingConfiguration(
    public val version: Long,
    public val routes: List<Route>,
    public val services: Map<String, Service>,
    public val organisations: List<Organisation>?,
    public val limits: CallerLimits,
)
