package org.parsleymoor.standins

import org.parsleymoor.clients.BlockTier
import org.parsleymoor.clients.CacheEventKind
import org.parsleymoor.clients.CachedBlock

/** A block of a store. A block that is not [committed] is never given out. */
internal data class StoredBlock(
    val generation: Long,
    val declaredBytes: Long,
    val content: ByteArray,
    val checksum: String,
    val committed: Boolean,
) {
    fun cached(piece: String, tier: BlockTier) = CachedBlock(piece, generation, declaredBytes, tier)
}

/** The blocks of a store in two tiers. */
internal class BlockTable(settings: StoreSettings, private val feed: CacheEventFeed) {
    private val memory = TierBlocks(BlockTier.MEMORY, settings.memoryBytes)
    private val disk = TierBlocks(BlockTier.DISK, settings.diskBytes)
    private val largestBytes = settings.memoryBytes
    private var lastGeneration = 0L

    val memoryUsed: Long get() = memory.usedBytes

    val diskUsed: Long get() = disk.usedBytes

    operator fun get(piece: String): StoredBlock? = memory[piece] ?: disk[piece]

    fun isInMemory(piece: String): Boolean = memory[piece] != null

    /** Returns the generation for a write that asks for [wanted], or for the next one when that is 0. */
    fun generationFor(wanted: Long): Long {
        lastGeneration = if (wanted > 0) maxOf(wanted, lastGeneration) else lastGeneration + 1
        return if (wanted > 0) wanted else lastGeneration
    }

    fun put(piece: String, block: StoredBlock, nowMillis: Long) {
        remove(piece, nowMillis)
        if (block.declaredBytes > largestBytes) return
        while (!memory.fits(block)) memory.oldest?.let { demote(it, nowMillis) }
        memory.add(piece, block)
        feed.report(CacheEventKind.STORED, piece, block, BlockTier.MEMORY, nowMillis)
    }

    /** Marks the block as used just now. */
    fun touch(piece: String) {
        memory.touch(piece)
        disk.touch(piece)
    }

    fun remove(piece: String, nowMillis: Long) {
        listOf(memory, disk).forEach { tier ->
            tier.remove(piece)?.let { feed.report(CacheEventKind.EVICTED, piece, it, tier.tier, nowMillis) }
        }
    }

    /** Moves a block to [tier]; returns false when memory has no room for it. */
    fun move(piece: String, tier: BlockTier, nowMillis: Long): Boolean {
        if (tier == BlockTier.DISK) demote(piece, nowMillis) else promote(piece, nowMillis)
        return tier == BlockTier.DISK || isInMemory(piece)
    }

    private fun promote(piece: String, nowMillis: Long) {
        val block = disk[piece]?.takeIf { memory.fits(it) } ?: return
        disk.remove(piece)
        memory.add(piece, block)
        feed.report(CacheEventKind.STORED, piece, block, BlockTier.MEMORY, nowMillis)
    }

    fun content(): List<CachedBlock> = disk.content() + memory.content()

    /** Moves a block to disk, where the blocks used longest ago give way; without room it is freed. */
    private fun demote(piece: String, nowMillis: Long) {
        val block = memory.remove(piece) ?: return
        var oldest = disk.oldest
        while (oldest != null && !disk.fits(block)) {
            remove(oldest, nowMillis)
            oldest = disk.oldest
        }
        if (!disk.fits(block)) return feed.report(CacheEventKind.EVICTED, piece, block, BlockTier.MEMORY, nowMillis)
        disk.add(piece, block)
        feed.report(CacheEventKind.STORED, piece, block, BlockTier.DISK, nowMillis)
    }
}

private fun CacheEventFeed.report(
    kind: CacheEventKind,
    piece: String,
    block: StoredBlock,
    tier: BlockTier,
    nowMillis: Long,
) {
    if (block.committed) add(kind, block.cached(piece, tier), nowMillis)
}
