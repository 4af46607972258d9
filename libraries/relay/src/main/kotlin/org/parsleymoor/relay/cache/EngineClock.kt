package org.parsleymoor.relay.cache

/**
 * The clock that all engines share, as this instance knows it from their reports. It is read between the question and
 * the answer of a report, so only quick reports tell it well. Not safe for use from several threads.
 */
public class EngineClock {
    private var aheadMillis: Long? = null
    private var readMillis = Long.MIN_VALUE / 2

    /** Takes in a report that was asked for at [askedMillis], arrived at [answeredMillis] and showed [clockMillis]. */
    public fun updateFromOwnPoll(clockMillis: Long, askedMillis: Long, answeredMillis: Long) {
        if (answeredMillis - askedMillis > SLOW_MILLIS) return
        aheadMillis = clockMillis - (askedMillis + answeredMillis) / 2
        readMillis = answeredMillis
    }

    /** Takes in that a peer's report showed [clockMillis] at [atMillis], which is less exact than a recent own one. */
    public fun updateFromPeer(clockMillis: Long, atMillis: Long, nowMillis: Long) {
        if (nowMillis - readMillis >= OWN_LIFE_MILLIS) aheadMillis = clockMillis - atMillis
    }

    /** Returns what the engines' clock shows at [millis] of this instance's clock, or null when it is unknown. */
    public fun at(millis: Long): Long? = aheadMillis?.let { millis + it }

    private companion object {
        // Twice the round trip between regions; the error is at most half of this.
        const val SLOW_MILLIS = 100L

        // A suspension moves the two clocks apart; after this time a peer's report is the better guess.
        const val OWN_LIFE_MILLIS = 1_000L
    }
}
