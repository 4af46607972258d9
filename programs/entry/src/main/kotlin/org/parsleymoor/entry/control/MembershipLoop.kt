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
import org.parsleymoor.entry.log.StructuredLog
import org.parsleymoor.entry.protocol.ObjectKind
import org.parsleymoor.entry.protocol.StoredObject
import org.parsleymoor.entry.serving.DeploymentView
import org.parsleymoor.relay.exchange.Member
import org.parsleymoor.relay.limits.InstanceShare
import org.parsleymoor.relay.limits.RegistrationTimes

/**
 * Registers this instance in the object store and determines which instances are alive, for limits that all instances
 * share and for [membership].
 */
internal class MembershipLoop(
    private val store: ObjectStore,
    private val deployment: DeploymentView,
    private val membership: Membership,
    private val log: StructuredLog,
    private val clock: Clock,
    private val retryShare: InstanceShare,
) {
    private val times = RegistrationTimes()
    private val observations = MemberObservations(times.listMillis, times.expiryMillis)
    private var heartbeats = 0L
    private var registeredMillis: Long? = null
    private var mayHaveCreated = false
    private var replacedFormer = false

    /** Renews the registration and reads those of the others until the coroutine is cancelled. */
    suspend fun run() {
        var lists = 0
        while (true) {
            if (clock.nowMillis() - (registeredMillis ?: Long.MIN_VALUE / 2) >= times.listMillis) register()
            store.list(ObjectKind.MEMBERS, allowStale = true)
                .onSuccess { updateMembers(it) }
                .onFailure { failure -> log.write("members.unknown") { put("reason", failure.message) } }
            delay(if (lists++ < INITIAL_LISTS) INITIAL_LIST_MILLIS else times.listMillis)
        }
    }

    /** Removes the registration of this instance. */
    suspend fun deregister() {
        deployment.knownInstances.recordRemoval()
        store.remove(ObjectKind.MEMBERS, deployment.self.value)
    }

    private suspend fun register() {
        heartbeats++
        val startMillis = clock.nowMillis()
        val self = membership.self
        val record = MemberRecord(self.address, heartbeats, self.zone.value, self.processors)
        val text = Json.encodeToString(MemberRecord.serializer(), record)
        val failure = if (registeredMillis == null) createOrReplace(text) else replaceOrCreate(text)
        if (failure == null) {
            registeredMillis = clock.nowMillis()
            deployment.knownInstances.recordRenewal(startMillis, replacedFormer)
            retryShare.renewed(startMillis)
        } else {
            log.write("members.notRegistered") { put("reason", failure.message) }
        }
    }

    private suspend fun createOrReplace(text: String): StoreFailure? {
        val failure = store.create(ObjectKind.MEMBERS, deployment.self.value, text).getError()
        val exists = failure is StoreFailure.Conflict
        replacedFormer = exists && !mayHaveCreated
        // Without an answer, the registration that is found later may be that of this process.
        mayHaveCreated = mayHaveCreated || failure is StoreFailure.Unanswered
        return if (exists) replace(text) else failure
    }

    private suspend fun replaceOrCreate(text: String): StoreFailure? {
        val failure = replace(text)
        return if (failure == StoreFailure.Absent) createOrReplace(text) else failure
    }

    private suspend fun replace(text: String): StoreFailure? =
        store.replace(ObjectKind.MEMBERS, deployment.self.value, text, revision = null).getError()

    private fun updateMembers(list: ObjectList) {
        val alive = observations.update(list, clock.nowMillis())
        val members = alive.map { InstanceId(it.name) }.toSet() + deployment.self
        if (members != deployment.members) {
            log.write("members.changed", always = true) { put("count", members.size) }
        }
        deployment.listMembers(members, clock.nowMillis())
        retryShare.listed(members.size, clock.nowMillis())
        val described = alive.mapNotNull(::member)
        deployment.memberZones = (described + membership.self).associate { it.id to it.zone }
        membership.update(described)
    }

    private fun member(item: StoredObject): Member? = try {
        val record = JSON.decodeFromString(MemberRecord.serializer(), item.content)
        Member(InstanceId(item.name), record.address, ZoneId(record.zone), record.processors)
    } catch (cause: IllegalArgumentException) {
        log.write("members.unreadable") {
            put("member", item.name)
            put("reason", cause.message)
        }
        null
    }

    private companion object {
        // Lists more often after a start, when instances that started at the same time may not have registered yet.
        const val INITIAL_LISTS = 4
        const val INITIAL_LIST_MILLIS = 1_500L
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
