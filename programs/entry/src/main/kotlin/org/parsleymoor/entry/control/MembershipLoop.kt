package org.parsleymoor.entry.control

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.put
import org.parsleymoor.core.Clock
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.ZoneId
import org.parsleymoor.entry.log.DecisionLog
import org.parsleymoor.entry.protocol.ObjectKind
import org.parsleymoor.entry.protocol.StoredObject
import org.parsleymoor.entry.serving.Beliefs
import org.parsleymoor.relay.exchange.Member

/**
 * Registers this instance in the object store and counts the others, for limits that all instances share and for
 * [membership]. An instance whose object has not changed for [LIFE_MILLIS], while the store could be read, no longer
 * counts.
 */
internal class MembershipLoop(
    private val store: ObjectStore,
    private val beliefs: Beliefs,
    private val membership: Membership,
    private val log: DecisionLog,
    private val clock: Clock,
) {
    private val seen = HashMap<String, Seen>()
    private var beats = 0L
    private var beatMillis: Long? = null
    private var countedMillis: Long? = null

    /** Registers and counts until the coroutine is cancelled. */
    suspend fun run() {
        var lists = 0
        while (true) {
            if (clock.nowMillis() - (beatMillis ?: Long.MIN_VALUE / 2) >= BEAT_MILLIS) register()
            store.list(ObjectKind.MEMBERS, inexpensive = true)
                .onSuccess { count(it.items) }
                .onFailure { failure -> log.write("members.unknown") { put("reason", failure.message) } }
            delay(if (lists++ < EARLY_LISTS) EARLY_MILLIS else BEAT_MILLIS)
        }
    }

    /** Removes this instance's object. */
    suspend fun deregister() {
        store.remove(ObjectKind.MEMBERS, beliefs.self.value)
    }

    private suspend fun register() {
        beats++
        val self = membership.self
        val record = MemberRecord(self.address, beats, self.zone.value, self.processors)
        val text = Json.encodeToString(MemberRecord.serializer(), record)
        val failure = if (beatMillis == null) createOrReplace(text) else replaceOrCreate(text)
        if (failure == null) {
            beatMillis = clock.nowMillis()
        } else {
            log.write("members.notRegistered") { put("reason", failure.message) }
        }
    }

    private suspend fun createOrReplace(text: String): StoreFailure? {
        val failure = store.create(ObjectKind.MEMBERS, beliefs.self.value, text).getError()
        return if (failure is StoreFailure.Conflict) replace(text) else failure
    }

    private suspend fun replaceOrCreate(text: String): StoreFailure? {
        val failure = replace(text)
        return if (failure == StoreFailure.Absent) createOrReplace(text) else failure
    }

    private suspend fun replace(text: String): StoreFailure? =
        store.replace(ObjectKind.MEMBERS, beliefs.self.value, text, revision = null).getError()

    private fun count(items: List<StoredObject>) {
        val nowMillis = clock.nowMillis()
        // While the store could not be read, no instance could show that it is alive.
        val unreadMillis = countedMillis?.let { nowMillis - it - BEAT_MILLIS }?.coerceAtLeast(0) ?: 0
        countedMillis = nowMillis
        items.forEach { item ->
            val known = seen[item.name]
            val since = if (known?.revision == item.revision) known.sinceMillis + unreadMillis else nowMillis
            seen[item.name] = Seen(item.revision, since)
        }
        seen.keys.retainAll(items.map { it.name }.toSet())
        val alive = seen.filterValues { nowMillis - it.sinceMillis < LIFE_MILLIS }.keys
        val members = alive.map { InstanceId(it) }.toSet() + beliefs.self
        if (members != beliefs.members) {
            log.write("members.changed", always = true) { put("count", members.size) }
        }
        beliefs.members = members
        membership.update(items.filter { it.name in alive }.mapNotNull(::member))
    }

    private fun member(item: StoredObject): Member? = try {
        val record = RECORDS.decodeFromString(MemberRecord.serializer(), item.content)
        Member(InstanceId(item.name), record.address, ZoneId(record.zone), record.processors)
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
        const val EARLY_LISTS = 4
        const val EARLY_MILLIS = 1_500L
        val RECORDS = Json { ignoreUnknownKeys = true }
    }
}
