package org.parsleymoor.context

/** How far the events of one source have been followed, and the state of its resynchronisation. */
internal class SourceState(var startCount: Long) {
    var sequence: Long = 0
    var gap: Boolean = false
    var awaiting: Boolean = false
    var requestedMillis: Long? = null

    fun restart(newStartCount: Long) {
        startCount = newStartCount
        sequence = 0
        gap = false
    }

    fun snapshotRunning(nowMillis: Long, settings: CacheDirectorySettings): Boolean {
        val requested = requestedMillis ?: return false
        return awaiting && nowMillis - requested < settings.snapshotTimeoutMillis
    }

    fun snapshotDue(nowMillis: Long, settings: CacheDirectorySettings): Boolean {
        if (!gap || snapshotRunning(nowMillis, settings)) return false
        return requestedMillis?.let { nowMillis - it >= settings.snapshotIntervalMillis } ?: true
    }
}
