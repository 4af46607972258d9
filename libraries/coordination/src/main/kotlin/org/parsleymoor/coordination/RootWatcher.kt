package org.parsleymoor.coordination

import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.rendezvousOrder

/** Decides whether this gateway watches the configuration root, and replaces a silent watch. */
internal class RootWatcher(
    private val self: InstanceId,
    private val settings: SyncSettings,
) {
    private var shouldWatch = true
    private var lastActivityMillis: Long? = null
    private var nextReadMillis = Long.MIN_VALUE

    fun chooseWatchers(members: SyncEvent.Members) {
        val watchers = rendezvousOrder("watch", members.zoneInstances) { it.value }.take(settings.watchersPerZone)
        shouldWatch = self in watchers || members.connectedPeers.isEmpty()
    }

    fun recordActivity(nowMillis: Long) {
        lastActivityMillis = nowMillis
    }

    fun recordEnd() {
        lastActivityMillis = null
    }

    /** Returns the watch actions and reads that are due. The root is read whenever a watch is opened. */
    fun dueActions(nowMillis: Long): List<SyncAction> {
        val silent = lastActivityMillis?.let { nowMillis - it >= settings.watchSilenceMillis } ?: true
        return when {
            shouldWatch && silent && nowMillis >= nextReadMillis -> open(nowMillis)
            !shouldWatch && lastActivityMillis != null -> close()
            !shouldWatch && nowMillis >= nextReadMillis -> listOf(SyncAction.ReadRoot).also { scheduleRead(nowMillis) }
            else -> emptyList()
        }
    }

    private fun open(nowMillis: Long): List<SyncAction> {
        lastActivityMillis = null
        nextReadMillis = nowMillis + settings.requestIntervalMillis
        return listOf(SyncAction.OpenWatch, SyncAction.ReadRoot)
    }

    private fun close(): List<SyncAction> {
        lastActivityMillis = null
        return listOf(SyncAction.CloseWatch)
    }

    private fun scheduleRead(nowMillis: Long) {
        nextReadMillis = nowMillis + settings.fallbackReadMillis
    }
}
