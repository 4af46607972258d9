package org.parsleymoor.execution.atmostonce

import org.parsleymoor.core.PendingUpdate
import org.parsleymoor.core.UpdateInFlight

/** The content of a head write. Once it has taken effect, the head no longer refers to [expiredSegments]. */
internal class HeadUpdate(val head: ClaimHead, val expiredSegments: List<Long>)

/** The platform operations of one shard that are in progress, each with the time at which it was sent. */
internal class PendingClaimOperations(private val settings: ClaimSettings) {
    val write = UpdateInFlight<HeadUpdate>(settings.responseMillis)
    var headReadMillis: Long? = null
    var segmentReadMillis: Long? = null
    var sealMillis: Long? = null
    private var lastWriteMillis = Long.MIN_VALUE / 2
    private var lastFailureMillis = Long.MIN_VALUE / 2

    fun startWrite(update: PendingUpdate<HeadUpdate>) {
        write.start(update)
        lastWriteMillis = update.sentMillis
    }

    fun fail(nowMillis: Long) {
        lastFailureMillis = nowMillis
        headReadMillis = null
        segmentReadMillis = null
        sealMillis = null
    }

    fun mayWrite(nowMillis: Long): Boolean =
        write.pending == null && sealMillis == null && nowMillis - lastWriteMillis >= settings.commitIntervalMillis

    fun failedRecently(nowMillis: Long): Boolean = nowMillis - lastFailureMillis < settings.retryMillis

    /** Returns whether a read or a segment write is overdue; marks an overdue head write as uncertain. */
    fun isOverdue(nowMillis: Long): Boolean {
        write.markOverdueUncertain(nowMillis)
        return listOfNotNull(headReadMillis, segmentReadMillis, sealMillis).any { write.isOverdue(it, nowMillis) }
    }
}
