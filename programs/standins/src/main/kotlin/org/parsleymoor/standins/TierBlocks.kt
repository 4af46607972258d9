package org.parsleymoor.standins

import org.parsleymoor.clients.BlockTier
import org.parsleymoor.clients.CachedBlock

/** The blocks of one tier of a store, ordered from the one used longest ago. */
internal class TierBlocks(val tier: BlockTier, private val capacityBytes: Long) {
    private val blocks = LinkedHashMap<String, StoredBlock>()

    var usedBytes: Long = 0
        private set

    /** The piece used longest ago. */
    val oldest: String? get() = blocks.keys.firstOrNull()

    operator fun get(piece: String): StoredBlock? = blocks[piece]

    fun fits(block: StoredBlock): Boolean = usedBytes + block.declaredBytes <= capacityBytes

    fun add(piece: String, block: StoredBlock) {
        blocks[piece] = block
        usedBytes += block.declaredBytes
    }

    fun remove(piece: String): StoredBlock? = blocks.remove(piece)?.also { usedBytes -= it.declaredBytes }

    /** Makes [piece] the one used last. */
    fun touch(piece: String) {
        blocks.remove(piece)?.let { blocks[piece] = it }
    }

    /** The committed blocks. */
    fun content(): List<CachedBlock> = blocks.filterValues { it.committed }.map { it.value.cached(it.key, tier) }
}
