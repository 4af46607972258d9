package org.parsleymoor.standins

import org.parsleymoor.clients.ListedInstance
import org.parsleymoor.core.InstanceId

/** The list of instances; a change shows [lagMillis] after it was made. */
internal class LaggingInstances(first: List<ListedInstance>, private val lagMillis: Long) {
    private val shown = first.associateByTo(sortedMapOf(compareBy { it.value })) { it.instance }
    private val pending = ArrayDeque<Change>()

    fun put(instance: ListedInstance, nowMillis: Long) {
        pending += Change(nowMillis + lagMillis, instance.instance, instance)
    }

    fun remove(instance: InstanceId, nowMillis: Long) {
        pending += Change(nowMillis + lagMillis, instance, null)
    }

    fun list(nowMillis: Long): List<ListedInstance> {
        while (pending.isNotEmpty() && pending.first().showsAtMillis <= nowMillis) apply(pending.removeFirst())
        return shown.values.toList()
    }

    private fun apply(change: Change) {
        if (change.value == null) shown.remove(change.instance) else shown[change.instance] = change.value
    }

    private data class Change(val showsAtMillis: Long, val instance: InstanceId, val value: ListedInstance?)
}
