package org.parsleymoor.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.delay
import org.parsleymoor.entry.control.ObjectStore
import org.parsleymoor.entry.net.CallFailure
import org.parsleymoor.entry.net.ControlResponse
import org.parsleymoor.entry.protocol.ControlRequest
import org.parsleymoor.entry.protocol.DecodeFailure
import org.parsleymoor.entry.protocol.ObjectChange
import org.parsleymoor.entry.protocol.ObjectChanges
import org.parsleymoor.entry.protocol.ObjectKind
import org.parsleymoor.entry.protocol.ObjectPage
import org.parsleymoor.entry.protocol.ObjectProtocol
import org.parsleymoor.entry.protocol.StoredObject

/** In-memory object store whose responses can be refused, withheld or lost. */
internal class MemoryStore {
    private val objects = LinkedHashMap<Pair<ObjectKind, String>, StoredObject>()
    private val history = ArrayList<Pair<ObjectKind, ObjectChange>>()
    private var revision = 1L
    private var historyFrom = 0L

    /** Whether calls get no response. */
    var unresponsive = false

    /** Whether calls are rejected immediately, with status 503. */
    var unavailable = false

    /** Number of calls received. */
    var calls = 0
        private set

    /** Whether writes take effect but their responses are lost. */
    var losesResponses = false

    val store = ObjectStore(MemoryProtocol, ::respond)

    fun put(kind: ObjectKind, name: String, content: String): StoredObject {
        val value = StoredObject(name, ++revision, content)
        objects[kind to name] = value
        history += kind to ObjectChange(value, removed = false)
        return value
    }

    fun remove(kind: ObjectKind, name: String) {
        val value = objects.remove(kind to name) ?: return
        history += kind to ObjectChange(value.copy(revision = ++revision), removed = true)
    }

    fun forgetHistory() {
        historyFrom = revision
    }

    private suspend fun respond(call: ControlRequest, timeoutMillis: Long): Result<ControlResponse, CallFailure> {
        calls++
        return when {
            unavailable -> Ok(ControlResponse(503, ""))
            unresponsive -> {
                delay(timeoutMillis)
                Err(CallFailure.Unanswered("silent"))
            }
            else -> execute(call, timeoutMillis)
        }
    }

    private suspend fun execute(call: ControlRequest, timeoutMillis: Long): Result<ControlResponse, CallFailure> {
        val (name, since, expected) = call.target.split(' ')
        val kind = ObjectKind.valueOf(name)
        delay(RESPONSE_MILLIS)
        return when (call.method) {
            "LIST" -> Ok(ControlResponse(200, text(objects.filterKeys { it.first == kind }.values.map { it to false })))
            "WATCH" -> watch(kind, since.toLong(), timeoutMillis)
            "READ" -> Ok(objects[kind to since]?.let { ControlResponse(200, text(listOf(it to false))) } ?: ABSENT)
            else -> write(kind, since, expected, call.body.orEmpty())
        }
    }

    private suspend fun watch(kind: ObjectKind, since: Long, waitMillis: Long): Result<ControlResponse, CallFailure> {
        var waited = 0L
        while (waited < waitMillis / 2 && history.none { it.first == kind && it.second.value.revision > since }) {
            delay(POLL_INTERVAL_MILLIS)
            waited += POLL_INTERVAL_MILLIS
        }
        if (since < historyFrom) return Ok(ControlResponse(410, ""))
        val changes = history.filter { it.first == kind && it.second.value.revision > since }
        return Ok(ControlResponse(200, text(changes.map { it.second.value to it.second.removed })))
    }

    private fun write(
        kind: ObjectKind,
        name: String,
        expected: String,
        content: String,
    ): Result<ControlResponse, CallFailure> {
        val known = objects[kind to name]
        val response = when {
            expected == "new" && known != null -> ControlResponse(409, text(listOf(known to false)))
            expected != "new" && known == null -> ABSENT
            expected.toLongOrNull()?.let { it != known?.revision } ?: false ->
                ControlResponse(409, text(listOfNotNull(known?.to(false))))
            else -> ControlResponse(200, text(listOf(put(kind, name, content) to false)))
        }
        return if (losesResponses) Err(CallFailure.Unanswered("the response was lost")) else Ok(response)
    }

    private fun text(values: List<Pair<StoredObject, Boolean>>): String =
        (
            listOf("$revision") + values.map { (value, removed) ->
                "${value.name} ${value.revision} $removed ${value.content}"
            }
            ).joinToString("\n")

    private companion object {
        const val RESPONSE_MILLIS = 4L
        const val POLL_INTERVAL_MILLIS = 20L
        val ABSENT = ControlResponse(404, "")
    }
}

private object MemoryProtocol : ObjectProtocol {
    override fun list(kind: ObjectKind, after: String?, allowStale: Boolean) = ControlRequest("LIST", "$kind - -")

    override fun watch(kind: ObjectKind, revision: Long, waitMillis: Long) = ControlRequest(
        "WATCH",
        "$kind $revision -"
    )

    override fun read(kind: ObjectKind, name: String) = ControlRequest("READ", "$kind $name -")

    override fun create(kind: ObjectKind, name: String, content: String) =
        ControlRequest("WRITE", "$kind $name new", content)

    override fun replace(kind: ObjectKind, name: String, content: String, revision: Long?) =
        ControlRequest("WRITE", "$kind $name ${revision ?: "any"}", content)

    override fun remove(kind: ObjectKind, name: String): ControlRequest = error("tests do not remove objects")

    override fun page(body: String): Result<ObjectPage, DecodeFailure> =
        Ok(ObjectPage(changes(body.lines()).map { it.value }, after = null, body.lines().first().toLong()))

    override fun changes(body: String): Result<ObjectChanges, DecodeFailure> =
        Ok(ObjectChanges(changes(body.lines()), body.lines().first().toLong()))

    override fun stored(body: String): Result<StoredObject, DecodeFailure> =
        changes(body.lines()).singleOrNull()?.let { Ok(it.value) } ?: Err(DecodeFailure("an object", body))

    private fun changes(lines: List<String>): List<ObjectChange> = lines.drop(1).map { line ->
        val (name, revision, rest) = line.split(' ', limit = 3)
        val content = rest.substringAfter(' ')
        ObjectChange(StoredObject(name, revision.toLong(), content), rest.startsWith("true"))
    }
}
