package org.parsleymoor.context

/**
 * Rows of blocks: 47 bytes a row and two to four for its bucket, where an object for each block took 250. Row numbers
 * are valid until the row is removed.
 */
internal class BlockTable {
    private var capacity = INITIAL_ROWS
    private val chains = RowChains(capacity)
    private val freeRows = ArrayDeque<Int>()
    private var usedRows = 0

    /** What is known of the block of each row. */
    val columns = BlockColumns(capacity)

    /** The rows in order of last confirmation. */
    val order = RecencyList(capacity)

    /** Number of rows in use. */
    val size: Int get() = usedRows - freeRows.size

    /** Returns the rows of [piece], one for each source that holds it. */
    fun rowsOf(piece: PieceHash): Sequence<Int> =
        walk(chains.first(BlockColumns.hash(piece.high, piece.low))) { chains.next(it) }
            .filter { columns.isPiece(it, piece) }

    /** Returns the row of [piece] at [source], or [NO_ROW]. */
    fun find(source: Int, piece: PieceHash): Int {
        var row = chains.first(BlockColumns.hash(piece.high, piece.low))
        while (row != NO_ROW && !(columns.source(row) == source && columns.isPiece(row, piece))) row = chains.next(row)
        return row
    }

    /** Adds a row for [block] at [source] as the newest. */
    fun add(source: Int, block: HeldBlock, nowMillis: Long) {
        val row = freeRows.removeLastOrNull() ?: nextRow()
        columns.name(row, source, block.piece)
        columns.confirm(row, block, nowMillis)
        chains.link(row, columns.hash(row))
        order.append(row)
    }

    /** Sets what is known about the block of [row] and makes it the newest. */
    fun confirm(row: Int, block: HeldBlock, nowMillis: Long) {
        columns.confirm(row, block, nowMillis)
        order.unlink(row)
        order.append(row)
    }

    /** Removes [row]. */
    fun remove(row: Int) {
        chains.unlink(row, columns.hash(row))
        order.unlink(row)
        freeRows.addLast(row)
    }

    private fun nextRow(): Int {
        if (usedRows == capacity) grow()
        return usedRows++
    }

    // Growing by a quarter leaves at most a fifth of the rows unused; doubling would leave up to a half.
    private fun grow() {
        capacity += capacity / GROWTH_DIVISOR
        columns.grow(capacity)
        chains.grow(capacity, walk(order.eldest) { order.newer(it) }) { columns.hash(it) }
        order.grow(capacity)
    }

    private companion object {
        const val INITIAL_ROWS = 64
        const val GROWTH_DIVISOR = 4
    }
}

/** Returns [first] and the rows that [next] leads to, up to [NO_ROW]. */
internal fun walk(first: Int, next: (Int) -> Int): Sequence<Int> =
    generateSequence(first.takeIf { it != NO_ROW }) { row -> next(row).takeIf { it != NO_ROW } }
