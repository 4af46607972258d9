package org.parsleymoor.standins

import kotlinx.serialization.Serializable

/** The calls that the object service had; each pending watch adds one read to every second that it is open. */
@Serializable
public data class CallCount(
    public val reads: Long = 0,
    public val writes: Long = 0,
    public val throttled: Long = 0,
    public val pendingWatches: Int = 0,
    public val readsThisSecond: Int = 0,
    public val writesThisSecond: Int = 0,
    public val mostReadsInASecond: Int = 0,
    public val mostWritesInASecond: Int = 0,
)

/** Counts calls in whole seconds and says which go over the rate. */
internal class CallMeter(private val readsPerSecond: Int, private val writesPerSecond: Int) {
    private var second = 0L

    /** The counts up to the last call. */
    var count: CallCount = CallCount()
        private set

    /** Counts a read and returns whether it is within the rate. */
    fun read(nowMillis: Long): Boolean {
        enter(nowMillis)
        val reads = count.readsThisSecond + 1
        count = count.copy(reads = count.reads + 1, readsThisSecond = reads)
        count = count.copy(mostReadsInASecond = maxOf(count.mostReadsInASecond, reads))
        return within(reads <= readsPerSecond)
    }

    /** Counts a write and returns whether it is within the rate. */
    fun write(nowMillis: Long): Boolean {
        enter(nowMillis)
        val writes = count.writesThisSecond + 1
        count = count.copy(writes = count.writes + 1, writesThisSecond = writes)
        count = count.copy(mostWritesInASecond = maxOf(count.mostWritesInASecond, writes))
        return within(writes <= writesPerSecond)
    }

    /** Counts a watch that opens ([change] 1) or closes ([change] -1). */
    fun watches(change: Int) {
        count = count.copy(pendingWatches = count.pendingWatches + change)
    }

    private fun enter(nowMillis: Long) {
        val now = nowMillis / MILLIS_PER_SECOND
        if (now == second) return
        second = now
        count = count.copy(readsThisSecond = count.pendingWatches, writesThisSecond = 0)
    }

    private fun within(allowed: Boolean): Boolean {
        if (!allowed) count = count.copy(throttled = count.throttled + 1)
        return allowed
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
    }
}
