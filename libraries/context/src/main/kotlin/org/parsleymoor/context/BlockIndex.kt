package org.parsleymoor.context

import org.parsleymoor.core.EndpointId

/** A block and the endpoint that holds it. */
internal data class BlockLocation(val endpoint: EndpointId, val block: HeldBlock)

/** Maps each piece to the endpoints that hold its block, and keeps the blocks in order of last confirmation. */
internal class BlockIndex {
    private val sources = SourceTable()
    private val table = BlockTable()

    /** Number of blocks over all sources. */
    val size: Int get() = table.size

    /** Returns the block of [piece] at [source], or null when [source] is not known to hold it. */
    fun find(source: EndpointId, piece: PieceHash): HeldBlock? {
        val row = table.find(sources.find(source), piece)
        return if (row == NO_ROW) null else table.columns.block(row)
    }

    /** Returns every endpoint that holds [piece]. */
    fun holders(piece: PieceHash): List<EndpointId> =
        table.rowsOf(piece).map { sources.endpoint(table.columns.source(it)) }.toList()

    /** Adds [block] at [source], or updates it, as confirmed at [nowMillis]. */
    fun put(source: EndpointId, block: HeldBlock, nowMillis: Long) {
        val number = sources.findOrAssign(source)
        val row = table.find(number, block.piece)
        if (row == NO_ROW) table.add(number, block, nowMillis) else table.confirm(row, block, nowMillis)
    }

    fun remove(source: EndpointId, piece: PieceHash) {
        val row = table.find(sources.find(source), piece)
        if (row != NO_ROW) table.remove(row)
    }

    /** Removes [source] and all its blocks. */
    fun dropSource(source: EndpointId) {
        rowsOf(source).toList().forEach { table.remove(it) }
        sources.release(source)
    }

    /** Returns the blocks that [source] is known to hold. */
    fun blocksOf(source: EndpointId): List<HeldBlock> = rowsOf(source).map { table.columns.block(it) }.toList()

    /** Removes blocks last confirmed before [oldestMillis], and the oldest ones beyond [maximumBlocks]. */
    fun trim(oldestMillis: Long, maximumBlocks: Int) {
        var oldest = table.recency.oldest
        while (oldest != NO_ROW && isSurplus(oldest, oldestMillis, maximumBlocks)) {
            table.remove(oldest)
            oldest = table.recency.oldest
        }
    }

    /** Returns the blocks last confirmed at or after [sinceMillis], newest first, with their endpoints. */
    fun confirmedSince(sinceMillis: Long): Sequence<BlockLocation> =
        walk(table.recency.newest) { table.recency.older(it) }
            .takeWhile { table.columns.confirmedMillis(it) >= sinceMillis }
            .map { BlockLocation(sources.endpoint(table.columns.source(it)), table.columns.block(it)) }

    private fun rowsOf(source: EndpointId): Sequence<Int> {
        val number = sources.find(source)
        return walk(table.recency.oldest) { table.recency.newer(it) }.filter { table.columns.source(it) == number }
    }

    private fun isSurplus(row: Int, oldestMillis: Long, maximumBlocks: Int): Boolean =
        table.columns.confirmedMillis(row) < oldestMillis || table.size > maximumBlocks
}
