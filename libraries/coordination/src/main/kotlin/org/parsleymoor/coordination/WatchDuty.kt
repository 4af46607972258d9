package org.parsleymoor.coordination

import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.rendezvousOrder

/** Decides whether this gateway watches the root, and replaces a watch that is silent. */
internal class WatchDuty(
    private val self: InstanceId,
    private val settings: SpreadSettings,
) {
    private var onDuty = true
    private var heardMillis: Long? = null
    private var nextReadMillis = Long.MIN_VALUE

    fun assign(members: SpreadEvent.Members) {
        val watchers = rendezvousOrder("watch", members.zone) { it.value }.take(settings.watchersPerZone)
        onDuty = self in watchers || members.connected.isEmpty()
    }

    fun heard(nowMillis: Long) {
        heardMillis = nowMillis
    }

    fun ended() {
        heardMillis = null
    }

    /** Returns the watch actions and reads that are due. A watch that is opened comes with a read of the root. */
    fun due(nowMillis: Long): List<SpreadAction> {
        val silent = heardMillis?.let { nowMillis - it >= settings.watchSilenceMillis } ?: true
        return when {
            onDuty && silent && nowMillis >= nextReadMillis -> open(nowMillis)
            !onDuty && heardMillis != null -> close()
            !onDuty && nowMillis >= nextReadMillis -> listOf(SpreadAction.ReadRoot).also { postpone(nowMillis) }
            else -> emptyList()
        }
    }

    private fun open(nowMillis: Long): List<SpreadAction> {
        heardMillis = null
        nextReadMillis = nowMillis + settings.askMillis
        return listOf(SpreadAction.OpenWatch, SpreadAction.ReadRoot)
    }

    private fun close(): List<SpreadAction> {
        heardMillis = null
        return listOf(SpreadAction.CloseWatch)
    }

    private fun postpone(nowMillis: Long) {
        nextReadMillis = nowMillis + settings.backstopMillis
    }
}
