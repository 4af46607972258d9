package org.parsleymoor.context

/** Links the rows of each hash bucket in a chain. The number of buckets is a power of two. */
internal class RowChains(capacity: Int) {
    private var buckets = IntArray(Integer.highestOneBit(capacity)) { NO_ROW }
    private var nextRows = IntArray(capacity)

    /** Returns the first row of the bucket of [hash], or [NO_ROW]. */
    fun first(hash: Int): Int = buckets[bucket(hash)]

    /** Returns the next row of the same bucket, or [NO_ROW]. */
    fun next(row: Int): Int = nextRows[row]

    fun link(row: Int, hash: Int) {
        val bucket = bucket(hash)
        nextRows[row] = buckets[bucket]
        buckets[bucket] = row
    }

    fun unlink(row: Int, hash: Int) {
        val bucket = bucket(hash)
        if (buckets[bucket] == row) {
            buckets[bucket] = nextRows[row]
            return
        }
        var previous = buckets[bucket]
        while (nextRows[previous] != row) previous = nextRows[previous]
        nextRows[previous] = nextRows[row]
    }

    /** Grows to [capacity] rows; rehashes [rows] when the number of buckets changes. */
    fun grow(capacity: Int, rows: Sequence<Int>, hashOf: (Int) -> Int) {
        nextRows = nextRows.copyOf(capacity)
        if (capacity <= buckets.size * 2) return
        buckets = IntArray(buckets.size * 2) { NO_ROW }
        rows.forEach { link(it, hashOf(it)) }
    }

    private fun bucket(hash: Int): Int = hash and (buckets.size - 1)
}
