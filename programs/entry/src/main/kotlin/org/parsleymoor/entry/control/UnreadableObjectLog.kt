package org.parsleymoor.entry.control

import kotlinx.serialization.json.put
import org.parsleymoor.entry.log.StructuredLog
import org.parsleymoor.entry.protocol.ObjectKind
import org.parsleymoor.entry.protocol.UnreadableObject

/** Logs the objects of the store that could not be decoded: once each, however often they are read. */
internal class UnreadableObjectLog(private val log: StructuredLog) {
    private val logged = LinkedHashSet<Pair<ObjectKind, UnreadableObject>>()

    /** Logs those of [objects] of [kind] that have not been logged yet. */
    fun record(kind: ObjectKind, objects: List<UnreadableObject>) {
        objects.filter { logged.add(kind to it) }.forEach { unreadable ->
            log.write("object.unreadable") {
                put("kind", kind.name)
                put("object", unreadable.name)
                put("reason", unreadable.cause.message)
            }
        }
        while (logged.size > MAX_REMEMBERED) logged.remove(logged.first())
    }

    private companion object {
        const val MAX_REMEMBERED = 1_000
    }
}
