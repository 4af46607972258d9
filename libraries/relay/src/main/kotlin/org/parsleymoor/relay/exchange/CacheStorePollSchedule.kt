package org.parsleymoor.relay.exchange

import org.parsleymoor.core.ZoneId

/**
 * Decides when this instance reads the events of a KV cache store. The instance that ranks first for the store always
 * reads them, the others only when they receive no updates about the store: a store supports only a few waiting calls,
 * while all instances need its events. Not thread-safe.
 */
public class CacheStorePollSchedule(private val ranking: ReaderRanking) {
    private val trackedSinceMillis = HashMap<String, Long>()

    /**
     * Returns whether this instance reads [store] in [zone]; [updatedMillis] is when it last received an update about
     * the store, or null.
     */
    public fun isDue(store: String, zone: ZoneId, updatedMillis: Long?, nowMillis: Long): Boolean {
        val sinceMillis = trackedSinceMillis.getOrPut(store) { nowMillis }
        val takeoverDelayMillis = ranking.takeoverDelayMillis(store, zone)
        val unansweredPollMillis = nowMillis - maxOf(sinceMillis, updatedMillis ?: sinceMillis)
        return takeoverDelayMillis == 0L || unansweredPollMillis >= SILENT_MILLIS + takeoverDelayMillis
    }

    private companion object {
        // The reader sends an update at least once a second, and its call may take a second longer than its wait.
        const val SILENT_MILLIS = 2_500L
    }
}
