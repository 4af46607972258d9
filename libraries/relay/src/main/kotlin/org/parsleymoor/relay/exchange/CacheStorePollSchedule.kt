package org.parsleymoor.relay.exchange

import org.parsleymoor.core.ZoneId

/**
 * Decides when this instance reads the events of a KV cache store: the first in the store's reading order always, the
 * others after it has been silent. A store bears only a few waiting calls, and all instances need what it says. Not
 * safe for use from several threads.
 */
public class CacheStorePollSchedule(private val roster: ReaderRanking) {
    private val followedSinceMillis = HashMap<String, Long>()

    /** Whether this instance reads [store] in [zone], of which it last had news at [heardMillis], or never. */
    public fun isDue(store: String, zone: ZoneId, heardMillis: Long?, nowMillis: Long): Boolean {
        val sinceMillis = followedSinceMillis.getOrPut(store) { nowMillis }
        val waitMillis = roster.waitMillis(store, zone)
        val unansweredPollMillis = nowMillis - maxOf(sinceMillis, heardMillis ?: sinceMillis)
        return waitMillis == 0L || unansweredPollMillis >= SILENT_MILLIS + waitMillis
    }

    private companion object {
        // The reader tells at least once a second how far it is, and its call may take a second longer than it waits.
        const val SILENT_MILLIS = 2_500L
    }
}
