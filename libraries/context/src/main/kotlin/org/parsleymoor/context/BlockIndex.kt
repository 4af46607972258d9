package org.parsleymoor.context

import org.parsleymoor.core.EndpointId

/** A block and the endpoint that holds it. */
internal data class BlockLocation(val endpoint: EndpointId, val block: HeldBlock)

/** Maps each piece to its holders, in order of last confirmation, with a bound on the number of blocks. */
internal class BlockIndex {
    private val sources = SourceTable()
    private val table = BlockTable()

    /** Number of blocks over all sources. */
    val size: Int get() = table.size

    /** Returns the block of [piece] at [source], or null when it is not known to be there. */
    fun find(source: EndpointId, piece: PieceHash): HeldBlock? {
        val row = table.find(sources.find(source), piece)
        return if (row == NO_ROW) null else table.columns.block(row)
    }

    /** Returns every endpoint that holds [piece]. */
    fun holders(piece: PieceHash): List<EndpointId> =
        table.rowsOf(piece).map { sources.name(table.columns.source(it)) }.toList()

    fun store(source: EndpointId, block: HeldBlock, nowMillis: Long) {
        val number = sources.number(source)
        val row = table.find(number, block.piece)
        if (row == NO_ROW) table.add(number, block, nowMillis) else table.confirm(row, block, nowMillis)
    }

    fun remove(source: EndpointId, piece: PieceHash) {
        val row = table.find(sources.find(source), piece)
        if (row != NO_ROW) table.remove(row)
    }

    fun dropSource(source: EndpointId) {
        rowsOf(source).toList().forEach { table.remove(it) }
        sources.release(source)
    }

    /** Returns the blocks that [source] is known to hold. */
    fun blocksOf(source: EndpointId): List<HeldBlock> = rowsOf(source).map { table.columns.block(it) }.toList()

    /** Drops entries confirmed before [oldestMillis], and the oldest beyond [maximumBlocks]. */
    fun trim(oldestMillis: Long, maximumBlocks: Int) {
        var eldest = table.order.eldest
        while (eldest != NO_ROW && isSurplus(eldest, oldestMillis, maximumBlocks)) {
            table.remove(eldest)
            eldest = table.order.eldest
        }
    }

    /** Returns the holdings confirmed at or after [sinceMillis], newest first. */
    fun confirmedSince(sinceMillis: Long): Sequence<BlockLocation> = walk(table.order.newest) { table.order.older(it) }
        .takeWhile { table.columns.confirmedMillis(it) >= sinceMillis }
        .map { BlockLocation(sources.name(table.columns.source(it)), table.columns.block(it)) }

    private fun rowsOf(source: EndpointId): Sequence<Int> {
        val number = sources.find(source)
        return walk(table.order.eldest) { table.order.newer(it) }.filter { table.columns.source(it) == number }
    }

    private fun isSurplus(row: Int, oldestMillis: Long, maximumBlocks: Int): Boolean =
        table.columns.confirmedMillis(row) < oldestMillis || table.size > maximumBlocks
}
