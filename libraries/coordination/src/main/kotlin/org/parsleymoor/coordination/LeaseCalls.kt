package org.parsleymoor.coordination

import org.parsleymoor.core.UpdateInFlight

/** The platform calls of one [LeaseHolder] that are under way: at most one write and one read. */
internal class LeaseCalls(private val settings: LeaseSettings) {
    /** The lease write under way; its content says whether it releases the lease. */
    val write = UpdateInFlight<Boolean>(settings.responseMillis)
    private var readSentMillis: Long? = null
    private var nextAttemptMillis = 0L

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
        nextAttemptMillis = nowMillis + settings.retryMillis
    }

    /** Returns whether another call may be started; gives up waiting for responses that are overdue. */
    fun idle(nowMillis: Long): Boolean {
        write.markOverdueUncertain(nowMillis)
        if (readSentMillis?.let { write.isOverdue(it, nowMillis) } == true) endRead()
        return write.pending?.uncertain != false && readSentMillis == null && nowMillis >= nextAttemptMillis
    }
}
