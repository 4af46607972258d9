package org.parsleymoor.relay.fleet

import org.parsleymoor.core.EndpointId
import org.parsleymoor.relay.cache.EngineIncarnation
import kotlin.random.Random

/**
 * The starts of endpoints that asked this instance for a pause, in which it sends them nothing. A pause ends up to a
 * quarter later than asked, because the pauses of all instances may have begun together, and then with one request,
 * whose refusal would begin the next pause. Not thread-safe.
 */
public class EndpointPauses(private val random: Random = Random.Default) {
    private val pauses = HashMap<EndpointId, Pause>()

    /** Begins a pause of [millis] for [endpoint], or extends the present one. */
    public fun begin(endpoint: EngineIncarnation, millis: Long, nowMillis: Long) {
        val spread = minOf(millis / SPREAD_DIVISOR, MAX_SPREAD_MILLIS)
        val endMillis = nowMillis + millis + random.nextLong(spread + 1)
        val present = pauses[endpoint.endpoint]?.takeUnless { endpoint.startedAfter(it.endpoint) }
        pauses[endpoint.endpoint] = Pause(endpoint, maxOf(endMillis, present?.endMillis ?: endMillis))
    }

    /** Returns how much longer nothing may be sent to [endpoint], in milliseconds, or null if it may. */
    public fun remainingMillis(endpoint: EngineIncarnation, nowMillis: Long): Long? {
        val pause = find(endpoint) ?: return null
        val untilMillis = pause.firstSentMillis?.let { it + REFUSAL_MILLIS } ?: pause.endMillis
        return (untilMillis - nowMillis).takeIf { it > 0 }
    }

    /** Records that a request is sent to [endpoint]: no other is until it has been answered or not refused for long. */
    public fun requestSent(endpoint: EngineIncarnation, nowMillis: Long) {
        find(endpoint)?.let { it.firstSentMillis = it.firstSentMillis ?: nowMillis }
    }

    /** Records that [endpoint] answered without asking for a pause; returns whether this ends one that is over. */
    public fun answered(endpoint: EngineIncarnation, nowMillis: Long): Boolean {
        val over = find(endpoint)?.let { nowMillis >= it.endMillis } ?: false
        if (over) pauses -= endpoint.endpoint
        return over
    }

    /** Removes and returns the endpoints whose pause has been over for a while. */
    public fun expire(nowMillis: Long): List<EngineIncarnation> {
        val expired = pauses.values.filter { nowMillis - it.endMillis >= KEEP_MILLIS }.map { it.endpoint }
        expired.forEach { pauses -= it.endpoint }
        return expired
    }

    private fun find(endpoint: EngineIncarnation): Pause? =
        pauses[endpoint.endpoint]?.takeUnless { endpoint.startedAfter(it.endpoint) }

    private class Pause(val endpoint: EngineIncarnation, val endMillis: Long) {
        var firstSentMillis: Long? = null
    }

    private companion object {
        const val SPREAD_DIVISOR = 4
        const val MAX_SPREAD_MILLIS = 1_000L

        // An endpoint refuses a request at once, so one that it has not refused after this time was accepted.
        const val REFUSAL_MILLIS = 250L

        // After this time the instances no longer send their first requests together.
        const val KEEP_MILLIS = 10_000L
    }
}

/**
 * Returns how much longer all of [endpoints] are paused, in milliseconds: until the first of them is not. Returns null
 * if any of them is not paused.
 */
public fun EndpointTable.shortestPauseMillis(endpoints: List<EndpointState>, nowMillis: Long): Long? {
    val remaining = endpoints.map { pauses.remainingMillis(it.incarnation, nowMillis) }
    return if (remaining.any { it == null }) null else remaining.filterNotNull().minOrNull()
}

/** Whether [endpoint] asked this instance for a pause that is not over. */
public fun EndpointTable.isPaused(endpoint: EngineIncarnation, nowMillis: Long): Boolean =
    pauses.remainingMillis(endpoint, nowMillis) != null
