package org.parsleymoor.limits

/** Counts the events of the last [windowMillis] in [BUCKETS] buckets, so that memory does not grow with their rate. */
internal class SlidingWindowCounter(windowMillis: Long) {
    private val bucketMillis = maxOf(1, windowMillis / BUCKETS)
    private val counts = LongArray(BUCKETS)
    private val epochs = LongArray(BUCKETS) { Long.MIN_VALUE }

    fun add(nowMillis: Long) {
        val epoch = nowMillis / bucketMillis
        val index = Math.floorMod(epoch, BUCKETS.toLong()).toInt()
        if (epochs[index] != epoch) {
            epochs[index] = epoch
            counts[index] = 0
        }
        counts[index]++
    }

    fun count(nowMillis: Long): Long {
        val newest = nowMillis / bucketMillis
        return counts.indices.filter { epochs[it] > newest - BUCKETS && epochs[it] <= newest }.sumOf { counts[it] }
    }

    private companion object {
        const val BUCKETS = 10
    }
}
