package org.parsleymoor.context

import org.parsleymoor.core.EndpointId

/** Maps each piece to its holders, in order of last confirmation, with a bound on the number of blocks. */
internal class BlockIndex {
    private val holders = LinkedHashMap<PieceHash, PieceHolders>()

    var size: Int = 0
        private set

    operator fun get(piece: PieceHash): PieceHolders? = holders[piece]

    fun store(source: EndpointId, block: HeldBlock, nowMillis: Long) {
        val known = holders.remove(block.piece) ?: PieceHolders()
        if (known.put(source, block)) size++
        known.confirmedMillis = nowMillis
        holders[block.piece] = known
    }

    fun remove(source: EndpointId, piece: PieceHash) {
        val known = holders[piece] ?: return
        if (known.remove(source)) size--
        if (known.isEmpty()) holders.remove(piece)
    }

    fun dropSource(source: EndpointId) {
        holders.values.removeIf { known ->
            if (known.remove(source)) size--
            known.isEmpty()
        }
    }

    /** Drops entries confirmed before [oldestMillis], and the oldest beyond [maximumBlocks]. */
    fun trim(oldestMillis: Long, maximumBlocks: Int) {
        val iterator = holders.values.iterator()
        while (iterator.hasNext()) {
            val eldest = iterator.next()
            if (eldest.confirmedMillis >= oldestMillis && size <= maximumBlocks) return
            size -= eldest.size
            iterator.remove()
        }
    }

    /** Returns the holders confirmed at or after [sinceMillis], newest first. */
    fun confirmedSince(sinceMillis: Long): Sequence<PieceHolders> =
        holders.values.toList().asReversed().asSequence().takeWhile { it.confirmedMillis >= sinceMillis }
}
