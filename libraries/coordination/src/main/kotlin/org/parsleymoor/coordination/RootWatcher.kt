package org.parsleymoor.coordination

import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.rendezvousOrder

/** Decides whether this gateway watches the root, and replaces a watch that is silent. */
internal class RootWatcher(
    private val self: InstanceId,
    private val settings: SyncSettings,
) {
    private var onDuty = true
    private var heardMillis: Long? = null
    private var nextReadMillis = Long.MIN_VALUE

    fun assign(members: SyncEvent.Members) {
        val watchers = rendezvousOrder("watch", members.zoneInstances) { it.value }.take(settings.watchersPerZone)
        onDuty = self in watchers || members.connectedPeers.isEmpty()
    }

    fun heard(nowMillis: Long) {
        heardMillis = nowMillis
    }

    fun ended() {
        heardMillis = null
    }

    /** Returns the watch actions and reads that are due. A watch that is opened comes with a read of the root. */
    fun due(nowMillis: Long): List<SyncAction> {
        val silent = heardMillis?.let { nowMillis - it >= settings.watchSilenceMillis } ?: true
        return when {
            onDuty && silent && nowMillis >= nextReadMillis -> open(nowMillis)
            !onDuty && heardMillis != null -> close()
            !onDuty && nowMillis >= nextReadMillis -> listOf(SyncAction.ReadRoot).also { postpone(nowMillis) }
            else -> emptyList()
        }
    }

    private fun open(nowMillis: Long): List<SyncAction> {
        heardMillis = null
        nextReadMillis = nowMillis + settings.requestIntervalMillis
        return listOf(SyncAction.OpenWatch, SyncAction.ReadRoot)
    }

    private fun close(): List<SyncAction> {
        heardMillis = null
        return listOf(SyncAction.CloseWatch)
    }

    private fun postpone(nowMillis: Long) {
        nextReadMillis = nowMillis + settings.fallbackReadMillis
    }
}
