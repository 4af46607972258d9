package org.parsleymoor.relay.fleet

import org.parsleymoor.core.EndpointId

/**
 * Keeps what is known of endpoints from being undone when the discovery list comes back from an older copy. An endpoint
 * that was draining goes on draining, and one that had been removed is withheld until it is shown to be alive; both
 * hold for the same start of the endpoint only. Not thread-safe.
 */
public class RestoredEndpoints {
    private val removals = LinkedHashMap<EndpointId, Removal>()
    private val draining = HashMap<EndpointId, EndpointEntry>()
    private val withheld = LinkedHashMap<EndpointId, Withheld>()

    /** Records that [entry] was removed from the list at [nowMillis]. */
    public fun recordRemoval(entry: EndpointEntry, nowMillis: Long) {
        removals.values.removeAll { nowMillis - it.atMillis >= REMEMBERED_MILLIS }
        removals[entry.id] = Removal(entry, nowMillis)
    }

    /** Records that the list comes back from an older copy, when the endpoints [known] were in use. */
    public fun restore(known: Collection<EndpointEntry>) {
        withheld.clear()
        known.filter { it.draining }.associateByTo(draining) { it.id }
    }

    /**
     * Returns [entry] as it is to be used, or null when it is withheld until [untilMillis], because it is known only
     * from the older copy ([fromCopy]).
     */
    public fun admit(entry: EndpointEntry, fromCopy: Boolean, untilMillis: Long): EndpointEntry? {
        val wasDraining = draining[entry.id]?.isSameStart(entry) == true
        if (!wasDraining) draining -= entry.id
        val admitted = entry.copy(draining = entry.draining || wasDraining)
        val withholds = fromCopy && removals[entry.id]?.entry?.isSameStart(entry) == true
        if (withholds) withheld[entry.id] = Withheld(admitted, untilMillis) else forget(entry.id)
        return admitted.takeUnless { withholds }
    }

    /** Drops the withheld entry of [id], which was removed from the list; returns whether there was one. */
    public fun remove(id: EndpointId): Boolean = withheld.remove(id) != null

    /** Drops the withheld entries that are not [listed]. */
    public fun retain(listed: Set<EndpointId>) {
        withheld.keys.retainAll(listed)
    }

    /** Removes and returns the withheld entries that are still listed after their time. */
    public fun release(nowMillis: Long): List<EndpointEntry> {
        val due = withheld.values.filter { nowMillis >= it.untilMillis }.map { it.entry }
        due.forEach { forget(it.id) }
        return due
    }

    private fun forget(id: EndpointId) {
        removals -= id
        withheld -= id
    }

    private class Removal(val entry: EndpointEntry, val atMillis: Long)

    private class Withheld(val entry: EndpointEntry, val untilMillis: Long)

    private companion object {
        // Longer than an endpoint goes on after its removal, an outage and the age of a copy together.
        const val REMEMBERED_MILLIS = 120_000L
    }
}

private fun EndpointEntry.isSameStart(other: EndpointEntry): Boolean = startMillis == other.startMillis
