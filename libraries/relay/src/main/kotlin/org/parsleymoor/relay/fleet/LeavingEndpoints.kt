package org.parsleymoor.relay.fleet

import org.parsleymoor.core.EndpointId
import org.parsleymoor.relay.cache.EngineIncarnation

/** Why an endpoint no longer counts as leaving. */
public enum class LeavingEnd { STARTED_AGAIN, FORGOTTEN }

/**
 * The starts of endpoints that announced that they leave. The discovery list may not say so yet, or never, so only a
 * later start of the endpoint ends this. Not thread-safe.
 */
internal class LeavingEndpoints {
    private val starts = LinkedHashMap<EndpointId, EngineIncarnation>()
    private val missingSinceMillis = HashMap<EndpointId, Long>()

    val all: Collection<EngineIncarnation> get() = starts.values

    /** Records that [endpoint] leaves; returns false if that is known. */
    fun record(endpoint: EngineIncarnation): Boolean {
        if (endpoint in this) return false
        // Removed first, so that the newest record is the last.
        starts.remove(endpoint.endpoint)
        starts[endpoint.endpoint] = endpoint
        if (starts.size > MAX_ENDPOINTS) forget(starts.keys.first())
        return true
    }

    /** Whether [endpoint], or a later start of it, announced that it leaves. */
    operator fun contains(endpoint: EngineIncarnation): Boolean =
        starts[endpoint.endpoint]?.let { !endpoint.startedAfter(it) } ?: false

    /**
     * Removes and returns the endpoints of which [known] has a later start, and those that it has not had for
     * [LIFE_MILLIS].
     */
    fun expire(known: Map<EndpointId, EndpointState>, nowMillis: Long): Map<EngineIncarnation, LeavingEnd> {
        missingSinceMillis.keys.removeAll(known.keys)
        val ended = starts.values.mapNotNull { start ->
            val state = known[start.endpoint]
            val absentMillis =
                if (state == null) nowMillis - missingSinceMillis.getOrPut(start.endpoint) { nowMillis } else 0
            when {
                state != null && state.incarnation.startedAfter(start) -> start to LeavingEnd.STARTED_AGAIN
                absentMillis >= LIFE_MILLIS -> start to LeavingEnd.FORGOTTEN
                else -> null
            }
        }.toMap()
        ended.keys.forEach { forget(it.endpoint) }
        return ended
    }

    private fun forget(endpoint: EndpointId) {
        starts -= endpoint
        missingSinceMillis -= endpoint
    }

    private companion object {
        // Several times the endpoints of the largest deployment.
        const val MAX_ENDPOINTS = 8_192

        // An entry that expired, because the endpoint could not reach the store, may be written again until the
        // endpoint ends, which takes it some minutes at most.
        const val LIFE_MILLIS = 600_000L
    }
}

/** Whether this is known to be a later start of the endpoint than [other]. */
internal fun EngineIncarnation.startedAfter(other: EngineIncarnation): Boolean {
    val start = startMillis
    val otherStart = other.startMillis
    return start != null && otherStart != null && start > otherStart
}
