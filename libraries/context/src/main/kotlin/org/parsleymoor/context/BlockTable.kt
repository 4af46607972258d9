package org.parsleymoor.context

/**
 * A hash table of blocks in parallel arrays. It takes 47 bytes per row and two to four for its bucket, where one object
 * per block took 250. A row number is valid until its row is removed.
 */
internal class BlockTable {
    private var capacity = INITIAL_ROWS
    private val chains = RowChains(capacity)
    private val freeRows = ArrayDeque<Int>()
    private var allocatedRows = 0

    /** The fields of the block in each row. */
    val columns = BlockColumns(capacity)

    /** The rows in order of last confirmation. */
    val recency = RecencyList(capacity)

    /** Number of rows in use. */
    val size: Int get() = allocatedRows - freeRows.size

    /** Returns the rows of [piece], one for each source that holds it. */
    fun rowsOf(piece: PieceHash): Sequence<Int> =
        walk(chains.first(BlockColumns.hash(piece.high, piece.low))) { chains.next(it) }
            .filter { columns.hasPiece(it, piece) }

    /** Returns the row of [piece] at [source], or [NO_ROW]. */
    fun find(source: Int, piece: PieceHash): Int {
        var row = chains.first(BlockColumns.hash(piece.high, piece.low))
        while (row != NO_ROW && !(columns.source(row) == source && columns.hasPiece(row, piece))) row = chains.next(row)
        return row
    }

    /** Adds a row for [block] at [source] as the most recently confirmed. */
    fun add(source: Int, block: HeldBlock, nowMillis: Long) {
        val row = freeRows.removeLastOrNull() ?: allocateRow()
        columns.setKey(row, source, block.piece)
        columns.confirm(row, block, nowMillis)
        chains.link(row, columns.hash(row))
        recency.append(row)
    }

    /** Updates the block in [row], which becomes the most recently confirmed. */
    fun confirm(row: Int, block: HeldBlock, nowMillis: Long) {
        columns.confirm(row, block, nowMillis)
        recency.unlink(row)
        recency.append(row)
    }

    fun remove(row: Int) {
        chains.unlink(row, columns.hash(row))
        recency.unlink(row)
        freeRows.addLast(row)
    }

    private fun allocateRow(): Int {
        if (allocatedRows == capacity) grow()
        return allocatedRows++
    }

    // Growing by a quarter leaves at most a fifth of the rows unused; doubling would leave up to half.
    private fun grow() {
        capacity += capacity / GROWTH_DIVISOR
        columns.grow(capacity)
        chains.grow(capacity, walk(recency.oldest) { recency.newer(it) }) { columns.hash(it) }
        recency.grow(capacity)
    }

    private companion object {
        const val INITIAL_ROWS = 64
        const val GROWTH_DIVISOR = 4
    }
}

/** Returns [first] and the rows reached from it by [next], until [NO_ROW]. */
internal fun walk(first: Int, next: (Int) -> Int): Sequence<Int> =
    generateSequence(first.takeIf { it != NO_ROW }) { row -> next(row).takeIf { it != NO_ROW } }
