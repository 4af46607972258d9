package org.parsleymoor.entry.control

import kotlinx.serialization.json.Json
import org.parsleymoor.coordination.LeaseRecord
import org.parsleymoor.coordination.StoredLease
import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.InstanceId

/**
 * Decodes a lease object. Content that is unreadable, or states a duration other than [durationMillis] could explain,
 * counts as the lease of an unknown holder, which ends when [durationMillis] have passed without a change of the
 * object. [onUnreadable] receives the reason.
 */
internal fun StoredVersion.toStoredLease(durationMillis: Long, onUnreadable: (String?) -> Unit): StoredLease = try {
    val stored = Json.decodeFromString(StoredLeaseRecord.serializer(), content)
    require(stored.record.durationMillis in 0..durationMillis * MAX_FACTOR) {
        "expected a duration of up to ${durationMillis * MAX_FACTOR} ms, found ${stored.record.durationMillis} ms"
    }
    StoredLease(stored.record, position.number, stored.writeId)
} catch (cause: IllegalArgumentException) {
    onUnreadable(cause.message)
    StoredLease(LeaseRecord(Incarnation(InstanceId(""), 0), durationMillis), position.number, writeId = "")
}

// An instance of another build may use a longer lease.
private const val MAX_FACTOR = 10
