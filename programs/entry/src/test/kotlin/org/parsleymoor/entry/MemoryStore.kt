package org.parsleymoor.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.delay
import org.parsleymoor.entry.control.ObjectStore
import org.parsleymoor.entry.control.StoreEra
import org.parsleymoor.entry.log.StructuredLog
import org.parsleymoor.entry.net.CallFailure
import org.parsleymoor.entry.net.ControlResponse
import org.parsleymoor.entry.protocol.ControlRequest
import org.parsleymoor.entry.protocol.DecodeFailure
import org.parsleymoor.entry.protocol.ObjectChange
import org.parsleymoor.entry.protocol.ObjectChanges
import org.parsleymoor.entry.protocol.ObjectKind
import org.parsleymoor.entry.protocol.ObjectPage
import org.parsleymoor.entry.protocol.ObjectProtocol
import org.parsleymoor.entry.protocol.ReleaseProtocol
import org.parsleymoor.entry.protocol.StoredObject
import org.parsleymoor.relay.http.HeaderField
import org.parsleymoor.relay.http.HeaderFields
import org.parsleymoor.relay.release.ReleaseOrder
import org.parsleymoor.relay.release.ReleaseState
import org.parsleymoor.relay.release.ReleaseStatus
import org.parsleymoor.relay.release.StoredRelease
import java.io.OutputStream
import java.io.PrintStream

/** In-memory object store whose responses can be refused, withheld or lost. */
internal class MemoryStore {
    private val objects = LinkedHashMap<Pair<ObjectKind, String>, StoredObject>()
    private val history = ArrayList<Pair<ObjectKind, ObjectChange>>()
    private var revision = 1L
    private var historyFrom = 0L
    private var era = 0L
    private var copy: Copy? = null

    /** Whether calls get no response. */
    var unresponsive = false

    /** Whether calls are rejected immediately, with status 503. */
    var unavailable = false

    /** Ends the watches that wait at this moment without a response. */
    fun cutWatches() {
        watchCuts++
    }

    private var watchCuts = 0

    /** Number of calls received. */
    var calls = 0
        private set

    /** Whether writes take effect but their responses are lost. */
    var losesResponses = false

    /** Whether calls get a response whose era cannot be read. */
    var statesUnreadableEra = false

    /** Era that the next response states instead of the real one, once. */
    var nextEra: Long? = null

    val store = client()

    /** Returns a client of an instance that learns of new eras through [era] and is [cutOff] from the store. */
    fun client(era: StoreEra = StoreEra(SILENT_LOG), cutOff: () -> Boolean = { false }): ObjectStore =
        ObjectStore(MemoryProtocol, era) { call, timeoutMillis ->
            if (cutOff()) Err(CallFailure.Unanswered("cut off")) else respond(call, timeoutMillis)
        }

    /** Keeps a copy of the objects, for [restore]. */
    fun keepCopy() {
        copy = Copy(LinkedHashMap(objects), history.toList(), revision)
    }

    /** Comes back from the kept copy in a new era; later changes are lost and their revisions are given out again. */
    fun restore() {
        val kept = requireNotNull(copy) { "expected a kept copy" }
        objects.clear()
        objects += kept.objects
        history.clear()
        history += kept.history
        revision = kept.revision
        era++
    }

    fun put(kind: ObjectKind, name: String, content: String, status: String? = null): StoredObject {
        val known = objects[kind to name]?.created ?: (revision + 1)
        val created = if (kind == ObjectKind.RELEASES) known else 0
        val value = StoredObject(name, ++revision, content, status ?: objects[kind to name]?.status, created)
        objects[kind to name] = value
        history += kind to ObjectChange(value, removed = false)
        return value
    }

    /** Returns the status of an object, or null without one. */
    fun status(kind: ObjectKind, name: String): String? = objects[kind to name]?.status

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
            unavailable -> Ok(response(503, ""))
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
            "LIST" -> Ok(response(200, text(objects.filterKeys { it.first == kind }.values.map { it to false })))
            "WATCH" -> watch(kind, since.toLong(), timeoutMillis)
            "READ" -> Ok(objects[kind to since]?.let { response(200, text(listOf(it to false))) } ?: response(404, ""))
            else -> write(call.method, kind, since, expected, call.body.orEmpty())
        }
    }

    private suspend fun watch(kind: ObjectKind, since: Long, waitMillis: Long): Result<ControlResponse, CallFailure> {
        val cuts = watchCuts
        var waited = 0L
        while (cuts == watchCuts && waited < waitMillis / 2 && changesSince(kind, since).isEmpty()) {
            delay(POLL_INTERVAL_MILLIS)
            waited += POLL_INTERVAL_MILLIS
        }
        return when {
            cuts != watchCuts -> Err(CallFailure.Unanswered("cut off"))
            since !in historyFrom..revision -> Ok(response(410, ""))
            else -> Ok(response(200, text(changesSince(kind, since).map { it.value to it.removed })))
        }
    }

    private fun changesSince(kind: ObjectKind, since: Long): List<ObjectChange> =
        history.filter { it.first == kind && it.second.value.revision > since }.map { it.second }

    private fun write(
        method: String,
        kind: ObjectKind,
        name: String,
        expected: String,
        content: String,
    ): Result<ControlResponse, CallFailure> {
        val known = objects[kind to name]
        val response = when {
            expected == "new" && known != null -> response(409, text(listOf(known to false)))
            expected != "new" && known == null -> response(404, "")
            expected.toLongOrNull()?.let { it != known?.revision } ?: false ->
                response(409, text(listOfNotNull(known?.to(false))))
            method == "STATUS" -> response(
                200,
                text(listOf(put(kind, name, known?.content.orEmpty(), content) to false))
            )
            else -> response(200, text(listOf(put(kind, name, content) to false)))
        }
        return if (losesResponses) Err(CallFailure.Unanswered("the response was lost")) else Ok(response)
    }

    private fun response(status: Int, body: String): ControlResponse {
        val text = if (statesUnreadableEra) "unreadable" else "${nextEra ?: era}"
        nextEra = null
        return ControlResponse(status, body, HeaderFields(listOf(HeaderField(ERA_HEADER, text))))
    }

    private class Copy(
        val objects: Map<Pair<ObjectKind, String>, StoredObject>,
        val history: List<Pair<ObjectKind, ObjectChange>>,
        val revision: Long,
    )

    private fun text(values: List<Pair<StoredObject, Boolean>>): String =
        (
            listOf("$revision") + values.map { (value, removed) ->
                val state = if (value.created == 0L) "" else "$STATE${value.created} ${value.status ?: "-"}$STATE"
                "${value.name} ${value.revision} $removed $state${value.content}"
            }
            ).joinToString("\n")

    private companion object {
        const val RESPONSE_MILLIS = 4L
        const val POLL_INTERVAL_MILLIS = 20L
    }
}

/** Log whose lines are discarded. */
internal val SILENT_LOG = StructuredLog({ 0 }, "test", PrintStream(OutputStream.nullOutputStream()))

/** Encloses the state of an object that may have a status. */
private const val STATE = '|'

/** Header of the era in the responses of [MemoryStore]. */
internal const val ERA_HEADER = "Era"

internal object MemoryProtocol : ObjectProtocol {
    override fun era(headers: HeaderFields): Result<Long, DecodeFailure> {
        val text = headers[ERA_HEADER] ?: return Ok(0)
        return text.toLongOrNull()?.let { Ok(it) } ?: Err(DecodeFailure("an era", text))
    }

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
        val text = rest.substringAfter(' ')
        val content = text.substringAfterLast(STATE)
        val state = text.substringAfter(STATE, "").substringBefore(STATE)
        val status = state.substringAfter(' ', "-").takeIf { it != "-" }
        val created = state.substringBefore(' ').toLongOrNull() ?: 0
        ObjectChange(StoredObject(name, revision.toLong(), content, status, created), rest.startsWith("true"))
    }
}

/** Orders of the form `target durationMillis` and statuses of the form `STATE:target`. */
internal object MemoryReleases : ReleaseProtocol {
    override fun order(value: StoredObject): Result<StoredRelease, DecodeFailure> {
        val (target, duration) = value.content.split(' ')
        val order = ReleaseOrder(value.name, target, duration.toLong(), value.created)
        val status = value.status?.split(':')?.let { ReleaseStatus(ReleaseState.valueOf(it[0]), it[1]) }
        return Ok(StoredRelease(order, status))
    }

    override fun replaceStatus(service: String, status: ReleaseStatus, revision: Long) =
        ControlRequest("STATUS", "${ObjectKind.RELEASES} $service $revision", "${status.state}:${status.target}")
}
