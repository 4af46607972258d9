package org.parsleymoor.entry.control

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import org.parsleymoor.core.Failure
import org.parsleymoor.entry.net.CallFailure
import org.parsleymoor.entry.net.ControlResponse
import org.parsleymoor.entry.protocol.ControlRequest
import org.parsleymoor.entry.protocol.DecodeFailure
import org.parsleymoor.entry.protocol.ObjectChanges
import org.parsleymoor.entry.protocol.ObjectKind
import org.parsleymoor.entry.protocol.ObjectProtocol
import org.parsleymoor.entry.protocol.StoredObject
import org.parsleymoor.relay.http.HttpStatus

/** Why a call to the object store did not do what was asked. */
internal sealed interface StoreFailure : Failure {
    /** The store did nothing: it could not be reached or refused. */
    data class Refused(override val message: String) : StoreFailure

    /** The call may have taken effect, now or later. */
    data class Unanswered(override val message: String) : StoreFailure

    /** The object has another revision; [current] is the object as it is, when the store says. */
    data class Conflict(val current: StoredObject?) : StoreFailure {
        override val message: String get() = "the object has revision ${current?.revision}"
    }

    /** There is no such object. */
    data object Absent : StoreFailure {
        override val message: String get() = "there is no such object"
    }

    /** The history of a watch is gone: the list has to be read again. */
    data object HistoryGone : StoreFailure {
        override val message: String get() = "the history since this revision is gone"
    }

    /** The response could not be read. */
    data class Unreadable(val cause: DecodeFailure) : StoreFailure {
        override val message: String get() = cause.message
    }
}

/** All objects of a kind, as of [revision]. */
internal class ObjectList(val items: List<StoredObject>, val revision: Long)

/** Makes a call to the object store and waits for its answer up to a number of milliseconds. */
internal typealias StoreCall = suspend (ControlRequest, Long) -> Result<ControlResponse, CallFailure>

/** The object store that [send] reaches. */
internal class ObjectStore(private val protocol: ObjectProtocol, private val send: StoreCall) {
    /** Reads all objects of [kind]. */
    suspend fun list(kind: ObjectKind, allowStale: Boolean = false): Result<ObjectList, StoreFailure> {
        val items = ArrayList<StoredObject>()
        var after: String? = null
        var revision: Long? = null
        do {
            val page = call(protocol.list(kind, after, allowStale), CALL_MILLIS)
                .andThen { answer -> protocol.page(answer.body).mapError { StoreFailure.Unreadable(it) } }
                .getOrElse { return Err(it) }
            items += page.items
            // A change between two pages is seen again by a watch from the first page's revision.
            revision = revision ?: page.revision
            after = page.after
        } while (after != null)
        return Ok(ObjectList(items, revision ?: 0))
    }

    /** Waits up to [waitMillis] for changes of [kind] after [revision], and [marginMillis] longer for the response. */
    suspend fun watch(
        kind: ObjectKind,
        revision: Long,
        waitMillis: Long,
        marginMillis: Long = CALL_MILLIS,
    ): Result<ObjectChanges, StoreFailure> =
        call(protocol.watch(kind, revision, waitMillis), waitMillis + marginMillis)
            .andThen { answer -> protocol.changes(answer.body).mapError { StoreFailure.Unreadable(it) } }

    /** Reads an object. */
    suspend fun read(kind: ObjectKind, name: String): Result<StoredObject, StoreFailure> =
        call(protocol.read(kind, name), CALL_MILLIS).andThen(::stored)

    /** Creates an object; one that exists is a conflict. */
    suspend fun create(kind: ObjectKind, name: String, content: String): Result<StoredObject, StoreFailure> =
        call(protocol.create(kind, name, content), CALL_MILLIS).andThen(::stored)

    /** Replaces an object when its revision is [revision]; with null, whatever it is. */
    suspend fun replace(
        kind: ObjectKind,
        name: String,
        content: String,
        revision: Long?,
    ): Result<StoredObject, StoreFailure> =
        call(protocol.replace(kind, name, content, revision), CALL_MILLIS).andThen(::stored)

    /** Removes an object. */
    suspend fun remove(kind: ObjectKind, name: String): Result<Unit, StoreFailure> =
        call(protocol.remove(kind, name), CALL_MILLIS).map { }

    private fun stored(answer: ControlResponse): Result<StoredObject, StoreFailure> =
        protocol.stored(answer.body).mapError { StoreFailure.Unreadable(it) }

    private suspend fun call(call: ControlRequest, timeoutMillis: Long): Result<ControlResponse, StoreFailure> {
        val answer = send(call, timeoutMillis).getOrElse { failure ->
            return Err(
                when (failure) {
                    is CallFailure.NotSent -> StoreFailure.Refused(failure.message)
                    is CallFailure.Unanswered -> StoreFailure.Unanswered(failure.message)
                },
            )
        }
        return when (answer.status) {
            in SUCCESS -> Ok(answer)
            HttpStatus.NOT_FOUND.code -> Err(StoreFailure.Absent)
            HttpStatus.GONE.code -> Err(StoreFailure.HistoryGone)
            HttpStatus.CONFLICT.code -> Err(StoreFailure.Conflict(protocol.stored(answer.body).getOrElse { null }))
            else -> Err(StoreFailure.Refused("the object store answered ${answer.status}"))
        }
    }

    private companion object {
        // The store answers in 4 ms, and in up to 300 ms while it is slow.
        const val CALL_MILLIS = 1_000L
        val SUCCESS = 200..299
    }
}
