package org.parsleymoor.entry.control

import org.parsleymoor.entry.protocol.ObjectChange
import org.parsleymoor.entry.protocol.ObjectChanges
import org.parsleymoor.entry.protocol.StoredObject

/**
 * Objects of one kind for a peer whose copy is behind, as of [revision]. When [since] is null, [objects] is the whole
 * list; otherwise [objects] and [removed] are the changes and the names of the removals after revision [since].
 */
internal class ObjectOffer(
    val revision: Long,
    val objects: List<StoredObject>,
    val since: Long? = null,
    val removed: List<String> = emptyList(),
)

/**
 * Local copy of the stored objects of one kind, which notifies [listener] of changes. Objects arrive from the store and
 * from peers; a change that is older than the copy is ignored.
 */
internal class ObjectCopy(private val listener: ObjectListener) {
    private val objects = LinkedHashMap<String, StoredObject>()
    private val removals = LinkedHashMap<String, Long>()
    private var removalsSince = 0L

    /** Revision up to which the copy is complete, or null before the first list. */
    var revision: Long? = null
        private set

    /** Revision of the last change in the copy. */
    var changedRevision = 0L
        private set

    /** Replaces the copy by [list], unless that is older. */
    fun replace(list: ObjectList) {
        if (list.revision < (revision ?: 0)) return
        objects.clear()
        removals.clear()
        list.items.associateByTo(objects) { it.name }
        revision = list.revision
        changedRevision = list.revision
        removalsSince = list.revision
        listener.onList(list.items)
    }

    /** Applies changes that follow the copy without a gap. */
    fun apply(changes: ObjectChanges) {
        val before = revision ?: 0
        changes.changes.forEach { change ->
            val known = objects[change.value.name]
            val outdated = if (change.removed) {
                known != null && change.value.revision < known.revision
            } else {
                change.value.revision <= before
            }
            if (!outdated) applyChange(change, maxOf(changes.revision, before))
        }
        revision = maxOf(before, changes.revision)
    }

    /** Applies [offer] if it is newer than the copy and leaves no gap; returns whether it was applied. */
    fun accept(offer: ObjectOffer): Boolean {
        val before = revision ?: 0
        val continues = offer.since == null || revision != null && offer.since <= before
        if (!continues || offer.revision <= before) return false
        if (offer.since == null) {
            replace(ObjectList(offer.objects, offer.revision))
        } else {
            val removed = offer.removed.mapNotNull { objects[it] }.map { ObjectChange(it, removed = true) }
            val changed = offer.objects.filter { it.revision > before }.map { ObjectChange(it, removed = false) }
            (removed + changed).forEach { applyChange(it, offer.revision) }
            revision = offer.revision
        }
        return true
    }

    /** Returns what a peer with a copy at [haveRevision] lacks, or null when this copy is not newer. */
    fun offer(haveRevision: Long): ObjectOffer? {
        val known = revision
        return when {
            known == null || known <= haveRevision -> null
            haveRevision < removalsSince || haveRevision == 0L -> ObjectOffer(known, objects.values.toList())
            else -> ObjectOffer(
                revision = known,
                objects = objects.values.filter { it.revision > haveRevision },
                since = haveRevision,
                removed = removals.filter { (name, at) -> at > haveRevision && name !in objects }.keys.toList(),
            )
        }
    }

    private fun applyChange(change: ObjectChange, atRevision: Long) {
        val name = change.value.name
        if (change.removed) {
            objects -= name
            removals[name] = atRevision
        } else {
            objects[name] = change.value
            removals -= name
        }
        changedRevision = maxOf(changedRevision, atRevision)
        dropOldestRemoval()
        listener.onChange(change)
    }

    private fun dropOldestRemoval() {
        if (removals.size <= MAX_REMOVALS) return
        val oldest = removals.entries.first()
        removalsSince = maxOf(removalsSince, oldest.value)
        removals -= oldest.key
    }

    private companion object {
        // Covers several minutes; a peer that is further behind gets the whole list.
        const val MAX_REMOVALS = 1_000
    }
}
