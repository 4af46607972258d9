package org.parsleymoor.entry.control

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.put
import org.parsleymoor.core.Clock
import org.parsleymoor.core.InstanceId
import org.parsleymoor.entry.log.DecisionLog
import org.parsleymoor.entry.protocol.ObjectKind
import org.parsleymoor.entry.protocol.StoredObject
import org.parsleymoor.entry.serving.Beliefs

/**
 * Registers this instance in the object store and counts the others, for limits that all instances share. An instance
 * whose object has not changed for [LIFE_MILLIS] no longer counts; nothing else is decided by it.
 */
internal class MemberLoop(
    private val store: ObjectStore,
    private val beliefs: Beliefs,
    private val address: String,
    private val log: DecisionLog,
    private val clock: Clock,
) {
    private val seen = HashMap<String, Seen>()
    private var beats = 0L

    /** Registers and counts until the coroutine is cancelled. */
    suspend fun run() {
        while (true) {
            register()
            store.list(ObjectKind.MEMBERS, inexpensive = true)
                .onSuccess { count(it.items) }
                .onFailure { failure -> log.write("members.unknown") { put("reason", failure.message) } }
            delay(if (beats < EARLY_BEATS) EARLY_MILLIS else BEAT_MILLIS)
        }
    }

    /** Removes this instance's object. */
    suspend fun leave() {
        store.remove(ObjectKind.MEMBERS, beliefs.self.value)
    }

    private suspend fun register() {
        beats++
        val text = Json.encodeToString(MemberRecord.serializer(), MemberRecord(address, beats))
        val replaced = store.replace(ObjectKind.MEMBERS, beliefs.self.value, text, revision = null)
        if (replaced.getError() == StoreFailure.Absent) {
            store.create(ObjectKind.MEMBERS, beliefs.self.value, text).getOrElse { cause ->
                log.write("members.notRegistered") { put("reason", cause.message) }
            }
        }
    }

    private fun count(items: List<StoredObject>) {
        val nowMillis = clock.nowMillis()
        items.forEach { item ->
            if (seen[item.name]?.revision != item.revision) seen[item.name] = Seen(item.revision, nowMillis)
        }
        seen.keys.retainAll(items.map { it.name }.toSet())
        val alive = seen.filterValues { nowMillis - it.sinceMillis < LIFE_MILLIS }.keys
        val members = alive.map { InstanceId(it) }.toSet() + beliefs.self
        if (members != beliefs.members) {
            log.write("members.changed", always = true) { put("count", members.size) }
        }
        beliefs.members = members
        beliefs.memberAddresses = items.filter { it.name in alive }.mapNotNull(::address).toMap()
    }

    private fun address(item: StoredObject): Pair<InstanceId, String>? = try {
        InstanceId(item.name) to Json.decodeFromString(MemberRecord.serializer(), item.content).address
    } catch (cause: IllegalArgumentException) {
        log.write("members.unreadable") {
            put("member", item.name)
            put("reason", cause.message)
        }
        null
    }

    private class Seen(val revision: Long, val sinceMillis: Long)

    private companion object {
        // Shared limits bear that a view is some seconds old, and each beat of each instance is a paid write.
        const val BEAT_MILLIS = 6_000L
        const val LIFE_MILLIS = 20_000L

        // Soon after a start the others have not registered yet.
        const val EARLY_BEATS = 3
        const val EARLY_MILLIS = 2_000L
    }
}
