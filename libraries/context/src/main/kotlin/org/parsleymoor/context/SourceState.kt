package org.parsleymoor.context

/** The last event sequence received from one source, and the state of its resynchronisation by snapshot. */
internal class SourceState(var startCount: Long) {
    var sequence: Long = 0
    var hasGap: Boolean = false
    var awaitingSnapshot: Boolean = false
    var snapshotRequestedMillis: Long? = null

    fun restart(newStartCount: Long) {
        startCount = newStartCount
        sequence = 0
        hasGap = false
    }

    fun snapshotRunning(nowMillis: Long, settings: CacheDirectorySettings): Boolean {
        val requestedMillis = snapshotRequestedMillis ?: return false
        return awaitingSnapshot && nowMillis - requestedMillis < settings.snapshotTimeoutMillis
    }

    fun snapshotDue(nowMillis: Long, settings: CacheDirectorySettings): Boolean {
        if (!hasGap || snapshotRunning(nowMillis, settings)) return false
        return snapshotRequestedMillis?.let { nowMillis - it >= settings.snapshotIntervalMillis } ?: true
    }
}
