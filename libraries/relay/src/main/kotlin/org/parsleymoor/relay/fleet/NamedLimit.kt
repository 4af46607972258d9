package org.parsleymoor.relay.fleet

import org.parsleymoor.relay.cache.EngineIncarnation

/**
 * The requests a second that [endpoint] takes from all instances together, or null if it no longer names a limit. Of
 * two values, the one with the higher [sequence] is the newer.
 */
public data class NamedLimit(
    public val endpoint: EngineIncarnation,
    public val perSecond: Double?,
    public val sequence: Long,
) {
    /** Whether this is newer than [other]; of two changes that were read at the same time, the stricter counts. */
    public fun isNewerThan(other: NamedLimit): Boolean = when {
        endpoint.startedAfter(other.endpoint) -> true
        other.endpoint.startedAfter(endpoint) -> false
        sequence != other.sequence -> sequence > other.sequence
        else -> (perSecond ?: Double.MAX_VALUE) < (other.perSecond ?: Double.MAX_VALUE)
    }
}
