package org.parsleymoor.context

/** Chains the rows whose hashes fall into the same bucket; the number of buckets is a power of two. */
internal class RowChains(capacity: Int) {
    private var buckets = IntArray(Integer.highestOneBit(capacity)) { NO_ROW }
    private var chain = IntArray(capacity)

    /** Returns the first row of the bucket of [hash], or [NO_ROW]. */
    fun first(hash: Int): Int = buckets[bucket(hash)]

    /** Returns the next row of the same bucket, or [NO_ROW]. */
    fun next(row: Int): Int = chain[row]

    fun link(row: Int, hash: Int) {
        val bucket = bucket(hash)
        chain[row] = buckets[bucket]
        buckets[bucket] = row
    }

    fun unlink(row: Int, hash: Int) {
        val bucket = bucket(hash)
        if (buckets[bucket] == row) {
            buckets[bucket] = chain[row]
            return
        }
        var before = buckets[bucket]
        while (chain[before] != row) before = chain[before]
        chain[before] = chain[row]
    }

    /** Makes room for [capacity] rows; [rows] are linked anew when the number of buckets changes. */
    fun grow(capacity: Int, rows: Sequence<Int>, hashOf: (Int) -> Int) {
        chain = chain.copyOf(capacity)
        if (capacity <= buckets.size * 2) return
        buckets = IntArray(buckets.size * 2) { NO_ROW }
        rows.forEach { link(it, hashOf(it)) }
    }

    private fun bucket(hash: Int): Int = hash and (buckets.size - 1)
}
