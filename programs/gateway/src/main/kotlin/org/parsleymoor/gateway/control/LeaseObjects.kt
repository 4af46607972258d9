package org.parsleymoor.gateway.control

import com.github.michaelbull.result.fold
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.SerializationException
import org.parsleymoor.clients.PlatformClient
import org.parsleymoor.clients.PlatformFailure
import org.parsleymoor.clients.StoredObject
import org.parsleymoor.clients.WireJson
import org.parsleymoor.coordination.LeaseAction
import org.parsleymoor.coordination.LeaseEvent
import org.parsleymoor.coordination.LeaseRecord
import org.parsleymoor.coordination.StoredLease

/** Reads and writes the platform objects `leases/{name}`. */
internal class LeaseObjects(private val platform: PlatformClient) {
    /** Performs [action] and suspends until its outcome. */
    suspend fun perform(action: LeaseAction): LeaseEvent = when (action) {
        is LeaseAction.Read -> read(action.name)
        is LeaseAction.Write -> write(action)
    }

    private suspend fun read(name: String): LeaseEvent = platform.read(KIND, name).fold(
        { found -> if (found == null) LeaseEvent.Seen(null) else readEvent(found) },
        { LeaseEvent.ReadFailed },
    )

    private fun readEvent(found: StoredObject): LeaseEvent =
        found.asLease()?.let { LeaseEvent.Seen(it) } ?: LeaseEvent.ReadFailed

    private suspend fun write(action: LeaseAction.Write): LeaseEvent {
        val value = WireJson.encodeToString(LeaseRecord.serializer(), action.record)
        return platform.write(KIND, action.name, value, action.expectedVersion, action.writeId).fold(
            { version -> LeaseEvent.Written(action.writeId, version) },
            { failure -> failedWrite(action.writeId, failure) },
        )
    }

    private fun failedWrite(writeId: String, failure: PlatformFailure): LeaseEvent = when (failure) {
        is PlatformFailure.Conflict -> LeaseEvent.Conflicted(writeId, failure.current?.asLease())
        is PlatformFailure.Unavailable -> LeaseEvent.WriteFailed(writeId, failure.mayHaveTakenEffect)
        is PlatformFailure.Rejected -> LeaseEvent.WriteFailed(writeId, false)
    }

    private fun StoredObject.asLease(): StoredLease? = try {
        StoredLease(WireJson.decodeFromString(LeaseRecord.serializer(), value), version, writeId)
    } catch (cause: SerializationException) {
        logger.error(cause) { "leases/$name: cannot decode a lease from JSON" }
        null
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        const val KIND = "leases"
    }
}
