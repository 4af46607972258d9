package org.parsleymoor.entry.control

import org.parsleymoor.entry.protocol.ObjectChange
import org.parsleymoor.entry.protocol.StorePosition
import org.parsleymoor.entry.protocol.StoredObject

/**
 * Objects of one kind for a peer whose copy is behind, as of [position]. When [since] is null, [objects] is the whole
 * list; otherwise [objects] and [removed] are the changes and the names of the removals after revision [since] of the
 * same era.
 */
internal class ObjectOffer(
    val position: StorePosition,
    val objects: List<StoredObject>,
    val since: Long? = null,
    val removed: List<String> = emptyList(),
)

/**
 * Local copy of the stored objects of one kind, which notifies [listener] of changes. Objects arrive from the store and
 * from peers; a change that is older than the copy is ignored. The copy enters a later era of the store only with a
 * whole list, because the changes between two eras are unknown.
 */
internal class ObjectCopy(private val listener: ObjectListener) {
    private val objects = LinkedHashMap<String, StoredObject>()
    private val removals = LinkedHashMap<String, Long>()
    private var removalsSince = 0L

    /** Position up to which the copy is complete, or null before the first list. */
    var position: StorePosition? = null
        private set

    /** Position of the last change in the copy. */
    var changedPosition = StorePosition.START
        private set

    /** Forgets how new the copy is if it is of an era after [era], which is the newest that the store has. */
    fun forgetErasAfter(era: Long) {
        if (position.let { it == null || it.era <= era }) return
        position = null
        changedPosition = StorePosition.START
        removals.clear()
        removalsSince = 0
    }

    /** Returns whether a list as of [position] is at least as new as the copy. */
    fun takes(position: StorePosition): Boolean = position >= (this.position ?: StorePosition.START)

    /** Replaces the copy by [list], unless that is older; returns whether it was replaced. */
    fun replace(list: ObjectList): Boolean {
        if (!takes(list.position)) return false
        if (position?.era != list.position.era) listener.onEra(list.position.era)
        objects.clear()
        removals.clear()
        list.items.associateByTo(objects) { it.name }
        position = list.position
        changedPosition = list.position
        removalsSince = list.position.revision
        listener.onList(list.items)
        return true
    }

    /** Applies [list], which follows the copy without a gap; returns false when it is of another era. */
    fun apply(list: ChangeList): Boolean {
        val before = position ?: StorePosition.START
        if (list.position.era != before.era) return false
        list.changes.forEach { change ->
            val known = objects[change.value.name]
            val outdated = if (change.removed) {
                known != null && change.value.revision < known.revision
            } else {
                change.value.revision <= before.revision
            }
            if (!outdated) applyChange(change, maxOf(list.position, before))
        }
        position = maxOf(before, list.position)
        return true
    }

    /** Applies [offer] if it is newer than the copy and leaves no gap; returns whether it was applied. */
    fun accept(offer: ObjectOffer): Boolean {
        val before = position ?: StorePosition.START
        val taken = continues(offer) && offer.position > before
        if (taken && offer.since == null) replace(ObjectList(offer.objects, offer.position))
        if (taken && offer.since != null) applyChanges(offer, before.revision)
        return taken
    }

    private fun applyChanges(offer: ObjectOffer, beforeRevision: Long) {
        val removed = offer.removed.mapNotNull { objects[it] }.map { ObjectChange(it, removed = true) }
        val changed = offer.objects.filter { it.revision > beforeRevision }.map { ObjectChange(it, removed = false) }
        (removed + changed).forEach { applyChange(it, offer.position) }
        position = offer.position
    }

    private fun continues(offer: ObjectOffer): Boolean {
        val known = position
        return offer.since == null ||
            known != null && known.era == offer.position.era && offer.since <= known.revision
    }

    /** Returns what a peer with a copy as of [have] lacks, or null when this copy is not newer. */
    fun offer(have: StorePosition): ObjectOffer? {
        val known = position
        return when {
            known == null || known <= have -> null
            have.era < known.era || have.revision < removalsSince || have.revision == 0L ->
                ObjectOffer(known, objects.values.toList())
            else -> ObjectOffer(
                position = known,
                objects = objects.values.filter { it.revision > have.revision },
                since = have.revision,
                removed = removals.filter { (name, at) -> at > have.revision && name !in objects }.keys.toList(),
            )
        }
    }

    private fun applyChange(change: ObjectChange, at: StorePosition) {
        val name = change.value.name
        if (change.removed) {
            objects -= name
            removals[name] = at.revision
        } else {
            objects[name] = change.value
            removals -= name
        }
        changedPosition = maxOf(changedPosition, at)
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
