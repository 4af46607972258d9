package org.parsleymoor.execution.atmostonce

/**
 * A head write whose outcome is not known yet; [uncertain] when it has to be read back. The segments [dropped] are no
 * longer referred to once it has taken effect.
 */
internal data class PendingHead(
    val writeId: String,
    val sentMillis: Long,
    val head: ClaimHead,
    val dropped: List<Long> = emptyList(),
    val uncertain: Boolean = false,
)

/** The platform calls of one shard that are under way. */
internal class ClaimCalls(private val settings: ClaimSettings) {
    var write: PendingHead? = null
        private set
    var headReadMillis: Long? = null
    var segmentReadMillis: Long? = null
    var sealMillis: Long? = null
    private var lastWriteMillis = Long.MIN_VALUE / 2
    private var lastFailureMillis = Long.MIN_VALUE / 2

    fun startWrite(pending: PendingHead) {
        write = pending
        lastWriteMillis = pending.sentMillis
    }

    /** Forgets the pending write when it is [writeId] and returns it. */
    fun endWrite(writeId: String): PendingHead? {
        val ended = write?.takeIf { it.writeId == writeId }
        if (ended != null) write = null
        return ended
    }

    fun endDoubtedWrite() {
        if (write?.uncertain == true) write = null
    }

    fun doubtWrite() {
        write = write?.copy(uncertain = true)
    }

    fun fail(nowMillis: Long) {
        lastFailureMillis = nowMillis
        headReadMillis = null
        segmentReadMillis = null
        sealMillis = null
    }

    fun mayWrite(nowMillis: Long): Boolean =
        write == null && sealMillis == null && nowMillis - lastWriteMillis >= settings.commitIntervalMillis

    fun failedRecently(nowMillis: Long): Boolean = nowMillis - lastFailureMillis < settings.retryMillis

    /** Returns whether a read or a seal is overdue; doubts an overdue write. */
    fun overdue(nowMillis: Long): Boolean {
        val dueMillis = nowMillis - settings.responseMillis
        write?.let { if (it.sentMillis <= dueMillis) doubtWrite() }
        return listOfNotNull(headReadMillis, segmentReadMillis, sealMillis).any { it <= dueMillis }
    }
}
