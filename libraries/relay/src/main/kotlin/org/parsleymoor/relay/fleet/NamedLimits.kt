package org.parsleymoor.relay.fleet

import org.parsleymoor.core.EndpointId
import org.parsleymoor.relay.cache.EngineIncarnation

/**
 * The limits that endpoints name, as this instance read them in responses or learned them from peers. A limit holds for
 * one start of the endpoint, until a response to a request that was sent after the limit was last named names none.
 * Instances agree by sequence numbers, because their clocks differ. Not thread-safe.
 */
public class NamedLimits {
    private class Known(val limit: NamedLimit, val namedMillis: Long)

    private val known = LinkedHashMap<EndpointId, Known>()
    private val missingSinceMillis = HashMap<EndpointId, Long>()

    /** Returns the limit of [endpoint] in requests a second, or null if it names none. */
    public fun perSecond(endpoint: EngineIncarnation): Double? = find(endpoint)?.limit?.perSecond

    /** Whether any endpoint names a limit. */
    public val isEmpty: Boolean get() = known.values.none { it.limit.perSecond != null }

    /** The limits in force, and those that ended a short time ago, which peers may still think in force. */
    public fun toRepeat(nowMillis: Long): List<NamedLimit> = known.values
        .filter { it.limit.perSecond != null || nowMillis - it.namedMillis < END_REPEATED_MILLIS }.map { it.limit }

    /** Records that [endpoint] named [perSecond]; returns what is new for peers, or null. */
    public fun named(endpoint: EngineIncarnation, perSecond: Double, nowMillis: Long): NamedLimit? {
        val before = find(endpoint)?.limit
        val isNew = before?.perSecond != perSecond
        val limit = if (before != null && !isNew) before else NamedLimit(endpoint, perSecond, before.nextSequence())
        put(limit, nowMillis)
        return limit.takeIf { isNew }
    }

    /** Records that [endpoint] answered without a limit what was sent at [sentMillis]; returns any news for peers. */
    public fun notNamed(endpoint: EngineIncarnation, sentMillis: Long, nowMillis: Long): NamedLimit? {
        val before = find(endpoint)?.takeIf { it.limit.perSecond != null && sentMillis > it.namedMillis } ?: return null
        return NamedLimit(endpoint, perSecond = null, before.limit.nextSequence()).also { put(it, nowMillis) }
    }

    /** Takes over [limit] from a peer if it is newer than what is known; returns whether it is. */
    public fun learn(limit: NamedLimit, nowMillis: Long): Boolean {
        val before = known[limit.endpoint.endpoint]?.limit
        val isNewer = before == null || limit.isNewerThan(before)
        if (isNewer) put(limit, nowMillis)
        return isNewer
    }

    /** Removes what ended a while ago, and endpoints that have been missing from [listed] for as long. */
    public fun expire(listed: Set<EndpointId>, nowMillis: Long) {
        missingSinceMillis.keys.retainAll(known.keys - listed)
        (known.keys - listed).forEach { missingSinceMillis.putIfAbsent(it, nowMillis) }
        known.values.removeAll {
            val isOver = it.limit.perSecond == null
            val sinceMillis = if (isOver) it.namedMillis else missingSinceMillis[it.limit.endpoint.endpoint]
            sinceMillis != null && nowMillis - sinceMillis >= KEPT_MILLIS
        }
    }

    private fun put(limit: NamedLimit, nowMillis: Long) {
        known[limit.endpoint.endpoint] = Known(limit, nowMillis)
        if (known.size > MAX_ENDPOINTS) known -= known.keys.first()
    }

    private fun find(endpoint: EngineIncarnation): Known? =
        known[endpoint.endpoint]?.takeUnless { endpoint.startedAfter(it.limit.endpoint) }

    private fun NamedLimit?.nextSequence() = (this?.sequence ?: 0) + 1

    private companion object {
        const val END_REPEATED_MILLIS = 10_000L
        const val KEPT_MILLIS = 60_000L

        // Several times the endpoints of the largest deployment.
        const val MAX_ENDPOINTS = 8_192
    }
}
