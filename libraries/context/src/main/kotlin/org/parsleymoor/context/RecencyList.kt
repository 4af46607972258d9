package org.parsleymoor.context

/** Links rows in the order in which they were last confirmed. */
internal class RecencyList(capacity: Int) {
    private var newer = IntArray(capacity)
    private var older = IntArray(capacity)

    /** The row confirmed longest ago, or [NO_ROW]. */
    var eldest: Int = NO_ROW
        private set

    /** The row confirmed last, or [NO_ROW]. */
    var newest: Int = NO_ROW
        private set

    fun newer(row: Int): Int = newer[row]

    fun older(row: Int): Int = older[row]

    fun append(row: Int) {
        older[row] = newest
        newer[row] = NO_ROW
        if (newest == NO_ROW) eldest = row else newer[newest] = row
        newest = row
    }

    fun unlink(row: Int) {
        val before = older[row]
        val after = newer[row]
        if (before == NO_ROW) eldest = after else newer[before] = after
        if (after == NO_ROW) newest = before else older[after] = before
    }

    fun grow(capacity: Int) {
        newer = newer.copyOf(capacity)
        older = older.copyOf(capacity)
    }
}

/** Stands for the absence of a row. */
internal const val NO_ROW: Int = -1
