package org.parsleymoor.context

/** A doubly linked list of rows in order of last confirmation. */
internal class RecencyList(capacity: Int) {
    private var newer = IntArray(capacity)
    private var older = IntArray(capacity)

    /** The least recently confirmed row, or [NO_ROW]. */
    var oldest: Int = NO_ROW
        private set

    /** The most recently confirmed row, or [NO_ROW]. */
    var newest: Int = NO_ROW
        private set

    fun newer(row: Int): Int = newer[row]

    fun older(row: Int): Int = older[row]

    fun append(row: Int) {
        older[row] = newest
        newer[row] = NO_ROW
        if (newest == NO_ROW) oldest = row else newer[newest] = row
        newest = row
    }

    fun unlink(row: Int) {
        val previous = older[row]
        val following = newer[row]
        if (previous == NO_ROW) oldest = following else newer[previous] = following
        if (following == NO_ROW) newest = previous else older[following] = previous
    }

    fun grow(capacity: Int) {
        newer = newer.copyOf(capacity)
        older = older.copyOf(capacity)
    }
}

/** Marks the absence of a row. */
internal const val NO_ROW: Int = -1
