package org.parsleymoor.relay.cache

/**
 * Estimates the clock that all engines share from the readings in their load reports. An engine reads the clock at some
 * time between the poll and its response, so only quick responses are used. Not thread-safe.
 */
public class EngineClock {
    private var offsetMillis: Long? = null
    private var ownPollMillis = Long.MIN_VALUE / 2

    /**
     * Updates the estimate with [clockMillis] from a poll that this instance sent at [askedMillis] and whose response
     * arrived at [answeredMillis].
     */
    public fun updateFromOwnPoll(clockMillis: Long, askedMillis: Long, answeredMillis: Long) {
        if (answeredMillis - askedMillis > MAX_ROUND_TRIP_MILLIS) return
        offsetMillis = clockMillis - (askedMillis + answeredMillis) / 2
        ownPollMillis = answeredMillis
    }

    /** Updates the estimate with a peer's reading at [atMillis], unless this instance has a recent, more exact one. */
    public fun updateFromPeer(clockMillis: Long, atMillis: Long, nowMillis: Long) {
        if (nowMillis - ownPollMillis >= OWN_READING_LIFE_MILLIS) offsetMillis = clockMillis - atMillis
    }

    /** Converts [millis] of this instance's clock to the engines' clock, or returns null when the latter is unknown. */
    public fun at(millis: Long): Long? = offsetMillis?.let { millis + it }

    private companion object {
        // Twice the round trip between regions; the estimate is off by at most half of this.
        const val MAX_ROUND_TRIP_MILLIS = 100L

        // A suspended machine falls behind the engines' clock, after which a peer's reading is the better estimate.
        const val OWN_READING_LIFE_MILLIS = 1_000L
    }
}
