package org.parsleymoor.relay.fleet

import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.InstanceId
import org.parsleymoor.relay.limits.LimitPart
import org.parsleymoor.relay.limits.PermitBucket
import org.parsleymoor.relay.limits.ServiceDemands
import org.parsleymoor.relay.limits.divideLimit

/** Whether this instance may send a request to an endpoint. */
internal sealed interface LimitPermission {
    /** The endpoint names no limit. */
    data object Unlimited : LimitPermission

    /** A permission has been left unused for a while, so that any request may take it. */
    data object Spare : LimitPermission

    /** There is a permission, which is best kept for a request that no other endpoint can serve. */
    data object Scarce : LimitPermission

    /** There is no permission; the next one is expected after [millis]. */
    data class Wait(val millis: Long) : LimitPermission
}

/**
 * The limits that endpoints name on the requests of all instances together, and what this instance may send. The
 * instances divide a limit by the demand of their callers, which they announce to each other. Not thread-safe.
 */
public class EndpointLimits(private val self: InstanceId) {
    private class Permits {
        val bucket = PermitBucket()
        var share = NO_PART
        var sharedMillis = Long.MIN_VALUE / 2
    }

    private val permits = HashMap<EndpointId, Permits>()
    private val neededMillis = HashMap<String, Long>()

    /** The limits that endpoints name. */
    public val named: NamedLimits = NamedLimits()

    /** The demand by which the instances divide them. */
    public val demands: ServiceDemands = ServiceDemands(self)

    /** Running instances including this one, or null before the list has been read. */
    public var members: Set<InstanceId>? = null

    /** Divides the limits of [endpoints] anew; has to be called several times a second. */
    public fun refresh(endpoints: Collection<EndpointState>, nowMillis: Long) {
        if (permits.isNotEmpty()) permits.keys.retainAll(endpoints.map { it.entry.id }.toSet())
        if (!named.isEmpty) endpoints.forEach { bucket(it, nowMillis) }
    }

    /** Takes a permission for a request to [endpoint] just before it is sent; returns false if there is none. */
    public fun tryTake(endpoint: EndpointState, nowMillis: Long): Boolean =
        bucket(endpoint, nowMillis)?.tryTake() ?: true

    internal fun permission(endpoint: EndpointState, nowMillis: Long): LimitPermission {
        val bucket = bucket(endpoint, nowMillis) ?: return LimitPermission.Unlimited
        val waitMillis = bucket.waitMillis()
        return when {
            waitMillis == 0L && bucket.isSpare(nowMillis) -> LimitPermission.Spare
            waitMillis == 0L -> LimitPermission.Scarce
            else -> LimitPermission.Wait(waitMillis ?: othersWaitMillis(endpoint))
        }
    }

    /** Records that a request for [service] that has begun waits for a permission. */
    internal fun recordNeed(service: String, nowMillis: Long) {
        neededMillis[service] = nowMillis
    }

    /** Whether a request for [service] that has begun waits for a permission. */
    internal fun isNeeded(service: String, nowMillis: Long): Boolean =
        neededMillis[service]?.let { nowMillis - it < NEED_MILLIS } ?: false

    /** The time between two requests that the endpoint takes from any instance. */
    private fun othersWaitMillis(endpoint: EndpointState): Long =
        (MILLIS_PER_SECOND / usable(checkNotNull(named.perSecond(endpoint.incarnation)))).toLong().coerceIn(WAIT_MILLIS)

    private fun bucket(endpoint: EndpointState, nowMillis: Long): PermitBucket? {
        val id = endpoint.entry.id
        val limit = named.perSecond(endpoint.incarnation)
        if (limit == null) {
            permits -= id
            return null
        }
        val known = permits.getOrPut(id) { Permits() }
        if (nowMillis - known.sharedMillis >= SHARE_MILLIS) {
            known.sharedMillis = nowMillis
            known.share = share(endpoint, usable(limit), nowMillis)
        }
        known.bucket.update(known.share, nowMillis)
        return known.bucket
    }

    private fun share(endpoint: EndpointState, limit: Double, nowMillis: Long): LimitPart {
        val all = members?.plus(self) ?: return NO_PART
        val demand = demands.of(endpoint.entry.service, nowMillis)
        val heardShare = all.count { it in demand } / all.size.toDouble()
        return divideLimit(endpoint.entry.id, limit, demand, heardShare)[self] ?: NO_PART
    }

    /** An endpoint that takes nothing gets a request now and then, whose response shows whether it still does. */
    private fun usable(limit: Double) = maxOf(limit, TRIALS_PER_SECOND)

    private companion object {
        val NO_PART = LimitPart(perSecond = 0.0, burst = 0.0)
        const val TRIALS_PER_SECOND = 0.2
        const val SHARE_MILLIS = 150L

        // Requests that have begun look for an endpoint every 40 ms.
        const val NEED_MILLIS = 100L
        const val MILLIS_PER_SECOND = 1_000.0
        val WAIT_MILLIS = 200L..5_000L
    }
}

/** The services of endpoints that name a limit. */
public val EndpointTable.limitedServices: Set<String>
    get() = if (limits.named.isEmpty) {
        emptySet()
    } else {
        all.filter { limits.named.perSecond(it.incarnation) != null }.map { it.entry.service }.toSet()
    }

/**
 * Returns how long it takes until this instance may send one of [endpoints] a request, in milliseconds, if all of them
 * name a limit and none has a permission left; otherwise null.
 */
public fun EndpointTable.shortestLimitMillis(endpoints: List<EndpointState>, nowMillis: Long): Long? {
    val waits = endpoints.map { limits.permission(it, nowMillis) as? LimitPermission.Wait }
    return if (waits.any { it == null }) null else waits.filterNotNull().minOfOrNull { it.millis }
}
