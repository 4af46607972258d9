package org.parsleymoor.gateway.control

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import com.github.michaelbull.result.mapError
import com.github.michaelbull.result.runCatching
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import org.parsleymoor.clients.PlatformClient
import org.parsleymoor.clients.PlatformFailure
import org.parsleymoor.clients.StoredObject
import org.parsleymoor.execution.atmostonce.Claim
import org.parsleymoor.execution.atmostonce.ClaimAction
import org.parsleymoor.execution.atmostonce.ClaimEvent
import org.parsleymoor.execution.atmostonce.ClaimHead
import org.parsleymoor.execution.atmostonce.StoredHead

/** Reads and writes the platform objects `claims/{shard}` (heads) and `claims/{shard}.{number}` (segments). */
internal class ClaimObjects(private val platform: PlatformClient) {
    /** Performs [action] and suspends until its outcome; null when the ledger needs no event. */
    suspend fun perform(action: ClaimAction): ClaimEvent? = when (action) {
        is ClaimAction.ReadHead -> readHead(action)
        is ClaimAction.ReadSegment -> readSegment(action)
        is ClaimAction.WriteHead -> writeHead(action)
        is ClaimAction.WriteSegment -> writeSegment(action)
        is ClaimAction.DeleteSegment -> deleteSegment(action)
        is ClaimAction.Execute -> null
    }

    private suspend fun readHead(action: ClaimAction.ReadHead): ClaimEvent =
        platform.read(KIND, action.shard.toString()).fold(
            { found -> headEvent(action.shard, found) },
            { ClaimEvent.ReadFailed(action.shard) },
        )

    private fun headEvent(shard: Int, found: StoredObject?): ClaimEvent {
        val head = found?.let { it.asHead() ?: return ClaimEvent.ReadFailed(shard) }
        return ClaimEvent.HeadRead(shard, head)
    }

    private suspend fun readSegment(action: ClaimAction.ReadSegment): ClaimEvent {
        val found = platform.read(KIND, "${action.shard}.${action.number}").get()
        val claims = found?.let { decode(it) { Json.decodeFromString(CLAIMS, it.value) } }
        return claims?.let { ClaimEvent.SegmentRead(action.shard, action.number, it) }
            ?: ClaimEvent.ReadFailed(action.shard)
    }

    private suspend fun writeHead(action: ClaimAction.WriteHead): ClaimEvent {
        val value = Json.encodeToString(ClaimHead.serializer(), action.head)
        return platform.write(KIND, action.shard.toString(), value, action.expectedVersion, action.writeId).fold(
            { version -> ClaimEvent.HeadWritten(action.shard, action.writeId, version) },
            { failure -> failedWrite(action, failure) },
        )
    }

    // A conflict with an undecodable object is handled like a lost response, so that the head is read again.
    private fun failedWrite(action: ClaimAction.WriteHead, failure: PlatformFailure): ClaimEvent {
        val current = (failure as? PlatformFailure.Conflict)?.current?.asHead()
        return when (failure) {
            is PlatformFailure.Conflict ->
                if (current == null) {
                    ClaimEvent.HeadWriteFailed(action.shard, action.writeId, mayHaveTakenEffect = true)
                } else {
                    ClaimEvent.HeadConflicted(action.shard, action.writeId, current)
                }
            is PlatformFailure.Unavailable ->
                ClaimEvent.HeadWriteFailed(action.shard, action.writeId, failure.mayHaveTakenEffect)
            is PlatformFailure.Rejected -> ClaimEvent.HeadWriteFailed(action.shard, action.writeId, false)
        }
    }

    private suspend fun writeSegment(action: ClaimAction.WriteSegment): ClaimEvent {
        val name = "${action.shard}.${action.number}"
        val written = platform.write(KIND, name, Json.encodeToString(CLAIMS, action.claims), 0, name)
        val exists = written.fold({ true }, { it is PlatformFailure.Conflict })
        return if (exists) {
            ClaimEvent.SegmentWritten(action.shard, action.number)
        } else {
            ClaimEvent.SegmentWriteFailed(action.shard, action.number)
        }
    }

    private suspend fun deleteSegment(action: ClaimAction.DeleteSegment): ClaimEvent? {
        platform.delete(KIND, "${action.shard}.${action.number}", SEGMENT_VERSION)
        return null
    }

    private fun StoredObject.asHead(): StoredHead? =
        decode(this) { Json.decodeFromString(ClaimHead.serializer(), value) }?.let { StoredHead(it, version, writeId) }

    private fun <T> decode(found: StoredObject, read: () -> T): T? {
        val outcome: Result<T, Throwable> = runCatching(read)
        outcome.mapError { logger.error(it) { "claims/${found.name}: cannot decode claims from JSON" } }
        return outcome.get()
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        val CLAIMS = ListSerializer(Claim.serializer())
        const val KIND = "claims"

        // Segments are immutable, so they stay at the first version.
        const val SEGMENT_VERSION = 1L
    }
}
