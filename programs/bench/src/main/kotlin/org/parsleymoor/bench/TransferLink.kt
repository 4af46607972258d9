package org.parsleymoor.bench

/** A link or disk that carries one block after another. */
internal class TransferLink(
    private val bytesPerSecond: Double,
    private val blockBytes: Long,
    private val events: EventQueue,
) {
    private var freeMillis = 0.0

    val isFree: Boolean get() = freeMillis <= events.nowMillis

    /** Queues one block; returns when it has arrived. */
    fun transfer(): Double {
        freeMillis = maxOf(freeMillis, events.nowMillis) + blockBytes * MILLIS_PER_SECOND / bytesPerSecond
        return freeMillis
    }

    fun queuedBytes(): Long =
        (maxOf(0.0, freeMillis - events.nowMillis) * bytesPerSecond / MILLIS_PER_SECOND).toLong()
}
