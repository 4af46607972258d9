package org.parsleymoor.coordination

import org.parsleymoor.core.UpdateInFlight

/** The platform operations of one [LeaseManager] that are in progress: at most one write and one read. */
internal class PendingLeaseOperations(private val settings: LeaseSettings) {
    /** The lease write in progress; its content says whether it releases the lease. */
    val write = UpdateInFlight<Boolean>(settings.responseMillis)
    private var readSentMillis: Long? = null
    private var nextStartMillis = 0L

    fun startRead(nowMillis: Long) {
        readSentMillis = nowMillis
    }

    fun endRead() {
        readSentMillis = null
    }

    fun failRead(nowMillis: Long) {
        endRead()
        postpone(nowMillis)
    }

    fun failWrite(nowMillis: Long, event: LeaseEvent.WriteFailed) {
        if (write.of(event.writeId) == null) return
        if (event.mayHaveTakenEffect) write.markUncertain() else write.end(event.writeId)
        postpone(nowMillis)
    }

    fun postpone(nowMillis: Long) {
        nextStartMillis = nowMillis + settings.retryMillis
    }

    /** Returns whether another operation may be started; stops waiting for overdue responses first. */
    fun isIdle(nowMillis: Long): Boolean {
        write.markOverdueUncertain(nowMillis)
        if (readSentMillis?.let { write.isOverdue(it, nowMillis) } == true) endRead()
        return write.pending?.uncertain != false && readSentMillis == null && nowMillis >= nextStartMillis
    }
}
