package org.parsleymoor.placement

import org.parsleymoor.context.CacheTier
import org.parsleymoor.context.HeldBlock

/** The prefix that one store holds, with the times at which its blocks would arrive at an engine if imported now. */
internal class ImportCandidate(val store: StoreView, val blocks: List<HeldBlock>, private val blockBytes: Long) {
    private val arrivalsByStart = HashMap<Int, DoubleArray>()

    /** Returns as element n the time in milliseconds until n blocks from index [start] on have arrived. */
    fun arrivals(start: Int): DoubleArray = arrivalsByStart.getOrPut(start) { computeArrivals(start) }

    /** Returns the time in milliseconds for which [count] blocks from index [start] on occupy the store's link. */
    fun linkMillis(start: Int, count: Int): Double {
        var total = 0.0
        for (index in start until start + count) total += blockMillis(blocks[index].tier)
        return total
    }

    private fun computeArrivals(start: Int): DoubleArray {
        val arrivals = DoubleArray(blocks.size - start + 1)
        var memoryFree = store.queuedMemoryBytes * MILLIS_PER_SECOND / store.memoryBytesPerSecond
        var diskFree = store.queuedDiskBytes * MILLIS_PER_SECOND / store.diskBytesPerSecond
        for (index in start until blocks.size) {
            val tier = blocks[index].tier
            if (tier == CacheTier.STORE_DISK) diskFree += blockMillis(tier) else memoryFree += blockMillis(tier)
            val sent = if (tier == CacheTier.STORE_DISK) diskFree else memoryFree
            arrivals[index - start + 1] = maxOf(arrivals[index - start], sent)
        }
        return arrivals
    }

    private fun blockMillis(tier: CacheTier): Double {
        val rate = if (tier == CacheTier.STORE_DISK) store.diskBytesPerSecond else store.memoryBytesPerSecond
        return blockBytes * MILLIS_PER_SECOND / rate
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
