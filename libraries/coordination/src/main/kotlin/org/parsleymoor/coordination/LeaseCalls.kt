package org.parsleymoor.coordination

/** A lease write whose outcome is not known yet; [uncertain] when it has to be read back. */
internal data class PendingWrite(
    val writeId: String,
    val sentMillis: Long,
    val released: Boolean,
    val uncertain: Boolean = false,
)

/** The platform calls of one [LeaseHolder] that are under way: at most one write and one read. */
internal class LeaseCalls(private val settings: LeaseSettings) {
    var write: PendingWrite? = null
        private set
    private var readSentMillis: Long? = null
    private var nextAttemptMillis = 0L

    fun startWrite(pending: PendingWrite) {
        write = pending
    }

    fun startRead(nowMillis: Long) {
        readSentMillis = nowMillis
    }

    /** Returns the pending write when it is [writeId]. */
    fun writeOf(writeId: String): PendingWrite? = write?.takeIf { it.writeId == writeId }

    fun endWrite() {
        write = null
    }

    fun endRead() {
        readSentMillis = null
    }

    fun doubtWrite() {
        write = write?.copy(uncertain = true)
    }

    fun failRead(nowMillis: Long) {
        endRead()
        postpone(nowMillis)
    }

    fun failWrite(nowMillis: Long, event: LeaseEvent.WriteFailed) {
        if (writeOf(event.writeId) == null) return
        if (event.mayHaveTakenEffect) doubtWrite() else endWrite()
        postpone(nowMillis)
    }

    fun postpone(nowMillis: Long) {
        nextAttemptMillis = nowMillis + settings.retryMillis
    }

    /** Returns whether another call may be started; gives up waiting for responses that are overdue. */
    fun idle(nowMillis: Long): Boolean {
        val overdueMillis = nowMillis - settings.responseMillis
        write?.let { if (it.sentMillis <= overdueMillis) doubtWrite() }
        if (readSentMillis?.let { it <= overdueMillis } == true) endRead()
        return write?.uncertain != false && readSentMillis == null && nowMillis >= nextAttemptMillis
    }
}
