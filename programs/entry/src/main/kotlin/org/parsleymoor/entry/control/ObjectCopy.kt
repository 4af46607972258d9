package org.parsleymoor.entry.control

import org.parsleymoor.entry.protocol.ObjectChange
import org.parsleymoor.entry.protocol.ObjectChanges
import org.parsleymoor.entry.protocol.StoredObject

/**
 * What a peer lacks of the objects of a kind as of [revision]: all [objects] when [since] is null, otherwise those that
 * have changed after that revision and the names of those that were [removed].
 */
internal class ObjectOffer(
    val revision: Long,
    val objects: List<StoredObject>,
    val since: Long? = null,
    val removed: List<String> = emptyList(),
)

/**
 * This instance's copy of the objects of one kind, which tells [listener] what changes. A change that is older than the
 * copy, because it was read by another path, is ignored.
 */
internal class ObjectCopy(private val listener: ObjectListener) {
    private val objects = LinkedHashMap<String, StoredObject>()
    private val removals = LinkedHashMap<String, Long>()
    private var completeSince = 0L

    /** Revision up to which the objects are known, or null before they are. */
    var revision: Long? = null
        private set

    /** Revision up to which the objects have changed. */
    var changedRevision = 0L
        private set

    /** Takes in the whole list. */
    fun replace(list: ObjectList) {
        if (list.revision < (revision ?: 0)) return
        objects.clear()
        removals.clear()
        list.items.associateByTo(objects) { it.name }
        revision = list.revision
        changedRevision = list.revision
        completeSince = list.revision
        listener.onList(list.items)
    }

    /** Takes in changes that follow each other. */
    fun apply(changes: ObjectChanges) {
        val before = revision ?: 0
        changes.changes.forEach { change ->
            val known = objects[change.value.name]
            val outdated = if (change.removed) {
                known != null && change.value.revision < known.revision
            } else {
                change.value.revision <= before
            }
            if (!outdated) take(change, maxOf(changes.revision, before))
        }
        revision = maxOf(before, changes.revision)
    }

    /** Takes in what a peer offers; returns whether it is newer than the copy. */
    fun accept(offer: ObjectOffer): Boolean {
        val before = revision ?: 0
        val joins = offer.since == null || revision != null && offer.since <= before
        if (!joins || offer.revision <= before) return false
        if (offer.since == null) {
            replace(ObjectList(offer.objects, offer.revision))
        } else {
            val removed = offer.removed.mapNotNull { objects[it] }.map { ObjectChange(it, removed = true) }
            val changed = offer.objects.filter { it.revision > before }.map { ObjectChange(it, removed = false) }
            (removed + changed).forEach { take(it, offer.revision) }
            revision = offer.revision
        }
        return true
    }

    /** Returns what a peer that knows the objects up to [haveRevision] lacks; null when the copy does not show it. */
    fun offer(haveRevision: Long): ObjectOffer? {
        val known = revision
        return when {
            known == null || known <= haveRevision -> null
            haveRevision < completeSince || haveRevision == 0L -> ObjectOffer(known, objects.values.toList())
            else -> ObjectOffer(
                revision = known,
                objects = objects.values.filter { it.revision > haveRevision },
                since = haveRevision,
                removed = removals.filter { (name, at) -> at > haveRevision && name !in objects }.keys.toList(),
            )
        }
    }

    private fun take(change: ObjectChange, asOf: Long) {
        val name = change.value.name
        if (change.removed) {
            objects -= name
            removals[name] = asOf
        } else {
            objects[name] = change.value
            removals -= name
        }
        changedRevision = maxOf(changedRevision, asOf)
        forgetRemovals()
        listener.onChange(change)
    }

    private fun forgetRemovals() {
        if (removals.size <= KEPT_REMOVALS) return
        val oldest = removals.entries.first()
        completeSince = maxOf(completeSince, oldest.value)
        removals -= oldest.key
    }

    private companion object {
        // Removals of several minutes; a peer that lacks older ones gets the whole list.
        const val KEPT_REMOVALS = 1_000
    }
}
