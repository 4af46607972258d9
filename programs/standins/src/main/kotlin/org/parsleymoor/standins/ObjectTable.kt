package org.parsleymoor.standins

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.parsleymoor.clients.PlatformFailure
import org.parsleymoor.clients.StoredObject
import org.parsleymoor.clients.WatchEvent

/**
 * The objects of the platform. A version rises by one with each write of a name and goes on rising after a deletion,
 * because fencing tokens are taken from it.
 */
internal class ObjectTable {
    private val rows = HashMap<Key, Row>()

    /** The revision of the last change of any object. */
    var revision: Long = 0
        private set

    fun read(kind: String, name: String): StoredObject? = rows[Key(kind, name)]?.stored

    fun list(kind: String): List<StoredObject> = rows.values.mapNotNull { it.stored }
        .filter { it.kind == kind }
        .sortedBy { it.name }

    fun write(write: ObjectWrite): Result<StoredObject, PlatformFailure.Conflict> {
        val key = Key(write.kind, write.name)
        val row = rows[key] ?: Row()
        if ((row.stored?.version ?: 0) != write.expectedVersion) return conflict(write.expectedVersion, row)
        revision += 1
        val version = row.lastVersion + 1
        val stored = StoredObject(write.kind, write.name, version, revision, write.writeId, write.value)
        rows[key] = Row(stored, version, revision)
        return Ok(stored)
    }

    fun delete(kind: String, name: String, expectedVersion: Long): Result<Unit, PlatformFailure.Conflict> {
        val key = Key(kind, name)
        val row = rows[key] ?: Row()
        if (row.stored?.version != expectedVersion) return conflict(expectedVersion, row)
        revision += 1
        rows[key] = Row(null, row.lastVersion, revision)
        return Ok(Unit)
    }

    /** Returns the latest change of each object of [kind] after [after], in order of revision. */
    fun changes(kind: String, after: Long): List<WatchEvent> = rows.entries
        .filter { it.key.kind == kind && it.value.revision > after }
        .sortedBy { it.value.revision }
        .map { (key, row) ->
            row.stored?.let { WatchEvent.Changed(it) } ?: WatchEvent.Deleted(key.kind, key.name, row.revision)
        }

    private fun conflict(expected: Long, row: Row) = Err(PlatformFailure.Conflict(expected, row.stored))

    private data class Key(val kind: String, val name: String)

    private data class Row(val stored: StoredObject? = null, val lastVersion: Long = 0, val revision: Long = 0)
}

/** A conditional write of one object. */
internal data class ObjectWrite(
    val kind: String,
    val name: String,
    val value: String,
    val expectedVersion: Long,
    val writeId: String,
)
