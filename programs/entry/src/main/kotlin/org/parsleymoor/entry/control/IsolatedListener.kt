package org.parsleymoor.entry.control

import kotlinx.serialization.json.put
import org.parsleymoor.entry.log.StructuredLog
import org.parsleymoor.entry.protocol.ObjectChange
import org.parsleymoor.entry.protocol.ObjectKind
import org.parsleymoor.entry.protocol.StoredObject

/**
 * Passes the objects of [kind] on to [listener], and logs what it throws: the copy of the objects has been updated by
 * then, so that the watch goes on with the next change.
 */
internal class IsolatedListener(
    private val kind: ObjectKind,
    private val listener: ObjectListener,
    private val log: StructuredLog,
) : ObjectListener {
    override fun onKnownCurrent(atMillis: Long) {
        isolated(null) { listener.onKnownCurrent(atMillis) }
    }

    override fun onCallFailed() {
        isolated(null) { listener.onCallFailed() }
    }

    override fun onEra(era: Long) {
        isolated(null) { listener.onEra(era) }
    }

    override fun onList(objects: List<StoredObject>) {
        isolated(null) { listener.onList(objects) }
    }

    override fun onChange(change: ObjectChange) {
        isolated(change.value.name) { listener.onChange(change) }
    }

    private fun isolated(name: String?, action: () -> Unit) {
        runCatching(action).onFailure { log.listenerFailed(kind.name, name, it) }
    }
}

/** Calls [action] for each of these objects; one for which it throws is logged and does not stop the others. */
internal fun List<StoredObject>.forEachIsolated(log: StructuredLog, kind: ObjectKind, action: (StoredObject) -> Unit) {
    forEach { value -> runCatching { action(value) }.onFailure { log.listenerFailed(kind.name, value.name, it) } }
}

private fun StructuredLog.listenerFailed(kind: String, name: String?, cause: Throwable) {
    if (!cause.isRecoverable) throw cause
    write("listener.failed", always = true) {
        put("kind", kind)
        put("object", name)
        put("cause", cause.stackTraceToString().take(MAX_CAUSE_CHARACTERS))
    }
}

private const val MAX_CAUSE_CHARACTERS = 4_000
