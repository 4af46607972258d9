package org.parsleymoor.relay.cache

/**
 * The clock that all engines share, as this instance knows it from their reports. It is read between the question and
 * the answer of a report, so only quick reports tell it well. Not safe for use from several threads.
 */
public class EngineClock {
    private var aheadMillis: Long? = null

    /** Takes in a report that was asked for at [askedMillis], arrived at [answeredMillis] and showed [clockMillis]. */
    public fun read(clockMillis: Long, askedMillis: Long, answeredMillis: Long) {
        if (answeredMillis - askedMillis > SLOW_MILLIS) return
        aheadMillis = clockMillis - (askedMillis + answeredMillis) / 2
    }

    /** Returns what the engines' clock shows at [millis] of this instance's clock, or null when it is unknown. */
    public fun at(millis: Long): Long? = aheadMillis?.let { millis + it }

    private companion object {
        // Twice the round trip between regions; the error is at most half of this.
        const val SLOW_MILLIS = 100L
    }
}
