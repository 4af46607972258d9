package org.parsleymoor.entry.control

import org.parsleymoor.entry.protocol.StorePosition
import org.parsleymoor.entry.protocol.StoredObject

/**
 * Decides from the lists of registrations which instances are alive. A registration that has not changed for
 * [expiryMillis] expires, not counting the time in which the store could not be read. After the store came back from an
 * older copy, registrations that are missing count for another two periods of [heartbeatMillis], within which their
 * instances write them again.
 */
internal class MemberObservations(private val heartbeatMillis: Long, private val expiryMillis: Long) {
    private val observations = LinkedHashMap<String, Observation>()
    private var listedMillis: Long? = null
    private var era: Long? = null
    private var keepMissingUntilMillis = Long.MIN_VALUE

    /** Applies a [list] that was read at [nowMillis]; returns the registrations of the live instances. */
    fun update(list: ObjectList, nowMillis: Long): List<StoredObject> {
        val unreadableMillis = listedMillis?.let { nowMillis - it - heartbeatMillis }?.coerceAtLeast(0) ?: 0
        listedMillis = nowMillis
        if (era.let { it != null && it < list.position.era }) {
            keepMissingUntilMillis = nowMillis + KEPT_HEARTBEATS * heartbeatMillis
        }
        era = list.position.era
        list.items.forEach { item ->
            val position = StorePosition(list.position.era, item.revision)
            val known = observations[item.name]
            // Each heartbeat changes the content; the position alone also changes when the store is restored.
            val silent = known != null && (known.position == position || known.registration.content == item.content)
            val since = if (known != null && silent) known.sinceMillis + unreadableMillis else nowMillis
            observations[item.name] = Observation(item, position, since)
        }
        if (nowMillis >= keepMissingUntilMillis) observations.keys.retainAll(list.items.map { it.name }.toSet())
        return observations.values.filter { nowMillis - it.sinceMillis < expiryMillis }.map { it.registration }
    }

    private class Observation(val registration: StoredObject, val position: StorePosition, val sinceMillis: Long)

    private companion object {
        // An instance writes within one period after the store is back; the list is read once in another.
        const val KEPT_HEARTBEATS = 2
    }
}
