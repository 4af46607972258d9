package org.parsleymoor.standins

import org.parsleymoor.clients.CacheEventKind
import org.parsleymoor.clients.CachedBlock

/** Who computed a block; a block may serve only requests of the same owner. */
internal data class BlockOwner(val organisation: String, val model: String, val version: String)

/** The leading pieces of a prompt found in the cache, and how many of them belong to another owner. */
internal data class PrefixMatch(val cached: Int, val foreign: Int)

/** The blocks of an engine, bounded by [capacityBytes]; the least recently used go first. */
internal class PrefixCache(
    private val capacityBytes: Long,
    private val bytesPerPiece: Long,
    private val feed: CacheEventFeed,
) {
    private val blocks = LinkedHashMap<String, Block>(INITIAL_SIZE, LOAD_FACTOR, true)
    private var generations = 0L

    val usedBytes: Long get() = blocks.size * bytesPerPiece

    fun match(pieces: List<String>, owner: BlockOwner): PrefixMatch {
        val found = pieces.map { blocks[it] }.takeWhile { it != null }
        return PrefixMatch(found.size, found.count { it?.owner != null && it.owner != owner })
    }

    /** Adds a block; [owner] is null when the block was imported and its owner is known only by its hash. */
    fun store(piece: String, owner: BlockOwner?, nowMillis: Long) {
        if (blocks[piece] != null || bytesPerPiece > capacityBytes) return
        while (usedBytes + bytesPerPiece > capacityBytes) evictOldest(nowMillis)
        generations += 1
        blocks[piece] = Block(generations, owner)
        feed.add(CacheEventKind.STORED, CachedBlock(piece, generations, bytesPerPiece), nowMillis)
    }

    operator fun contains(piece: String): Boolean = blocks.containsKey(piece)

    fun generationOf(piece: String): Long = blocks[piece]?.generation ?: 0

    fun content(): List<CachedBlock> = blocks.map { (piece, block) ->
        CachedBlock(piece, block.generation, bytesPerPiece)
    }

    fun clear() {
        blocks.clear()
    }

    private fun evictOldest(nowMillis: Long) {
        val (piece, block) = blocks.entries.first()
        blocks.remove(piece)
        feed.add(CacheEventKind.EVICTED, CachedBlock(piece, block.generation, bytesPerPiece), nowMillis)
    }

    private data class Block(val generation: Long, val owner: BlockOwner?)

    private companion object {
        const val INITIAL_SIZE = 256
        const val LOAD_FACTOR = 0.75f
    }
}
