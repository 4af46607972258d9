package org.parsleymoor.relay.limits

/**
 * The permissions that this instance has to send requests to one endpoint. They come at the share of the limit that the
 * instance has. A share that grows counts only after [SETTLE_MILLIS], in which the instance whose share it was has
 * learned of that; one that shrinks counts at once. Not thread-safe.
 */
internal class PermitBucket {
    private class Share(val fromMillis: Long, val perSecond: Double)

    private val shares = ArrayDeque<Share>()
    private var permits = 0.0
    private var burst = 0.0
    private var filledMillis = 0L
    private var fullSinceMillis: Long? = null

    /** Records that the [part] is what this instance has of the limit at [nowMillis]. */
    fun update(part: LimitPart, nowMillis: Long) {
        fill(nowMillis)
        burst = part.burst
        if (shares.isEmpty()) shares.addLast(Share(nowMillis - SETTLE_MILLIS, 0.0))
        if (shares.last().perSecond != part.perSecond) shares.addLast(Share(nowMillis, part.perSecond))
        while (shares.size > 1 && shares[1].fromMillis <= nowMillis - SETTLE_MILLIS) shares.removeFirst()
        if (settled() == 0.0) permits = 0.0
        permits = permits.coerceAtMost(capacity())
    }

    /** Returns how long it takes until a request may be sent, in milliseconds: 0 if it may, or null without a share. */
    fun waitMillis(): Long? = when {
        permits >= 1 -> 0
        settled() > 0 -> ((1 - permits) / settled() * MILLIS_PER_SECOND).toLong() + 1
        else -> null
    }

    /** Whether permissions have been left unused for a while. */
    fun isSpare(nowMillis: Long): Boolean = fullSinceMillis?.let { nowMillis - it >= SPARE_MILLIS } ?: false

    /** Takes one permission; returns false, and takes nothing, if there is none. */
    fun tryTake(): Boolean {
        if (permits < 1) return false
        permits--
        fullSinceMillis = null
        return true
    }

    /** Adds the permissions since the last call. */
    private fun fill(nowMillis: Long) {
        val passedSeconds = (nowMillis - filledMillis).coerceAtLeast(0) / MILLIS_PER_SECOND
        permits = minOf(capacity(), permits + settled() * passedSeconds)
        filledMillis = nowMillis
        val isFull = permits >= 1 && permits >= capacity()
        fullSinceMillis = if (isFull) fullSinceMillis ?: nowMillis else null
    }

    /** The least share within [SETTLE_MILLIS]. */
    private fun settled(): Double = shares.minOfOrNull { it.perSecond } ?: 0.0

    private fun capacity(): Double = if (settled() > 0) maxOf(1.0, burst) else 0.0

    private companion object {
        // An announcement reaches every instance within 600 ms, also through two hubs.
        const val SETTLE_MILLIS = 1_000L
        const val SPARE_MILLIS = 1_000L
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
