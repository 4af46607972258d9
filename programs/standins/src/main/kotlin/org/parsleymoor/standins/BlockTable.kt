package org.parsleymoor.standins

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
    fun cached(piece: String) = CachedBlock(piece, generation, declaredBytes)
}

/** The blocks of a store in two tiers, each ordered from the one used longest ago. */
internal class BlockTable(private val settings: StoreSettings, private val feed: CacheEventFeed) {
    private val memory = LinkedHashMap<String, StoredBlock>()
    private val disk = LinkedHashMap<String, StoredBlock>()
    private var lastGeneration = 0L

    var memoryUsed: Long = 0
        private set

    var diskUsed: Long = 0
        private set

    operator fun get(piece: String): StoredBlock? = memory[piece] ?: disk[piece]

    fun isInMemory(piece: String): Boolean = piece in memory

    /** Returns the generation for a write that asks for [wanted], or for the next one when that is 0. */
    fun generationFor(wanted: Long): Long {
        lastGeneration = if (wanted > 0) maxOf(wanted, lastGeneration) else lastGeneration + 1
        return if (wanted > 0) wanted else lastGeneration
    }

    fun put(piece: String, block: StoredBlock, nowMillis: Long) {
        remove(piece, nowMillis)
        if (block.declaredBytes > settings.memoryBytes) return
        while (memoryUsed + block.declaredBytes > settings.memoryBytes) demoteOldest(nowMillis)
        memory[piece] = block
        memoryUsed += block.declaredBytes
        if (block.committed) feed.add(CacheEventKind.STORED, block.cached(piece), nowMillis)
    }

    /** Marks the block as used just now. */
    fun touch(piece: String) {
        memory.remove(piece)?.let { memory[piece] = it }
        disk.remove(piece)?.let { disk[piece] = it }
    }

    fun remove(piece: String, nowMillis: Long) {
        memory.remove(piece)?.also { memoryUsed -= it.declaredBytes }?.let { evicted(piece, it, nowMillis) }
        disk.remove(piece)?.also { diskUsed -= it.declaredBytes }?.let { evicted(piece, it, nowMillis) }
    }

    fun content(): List<CachedBlock> = (memory + disk).filterValues { it.committed }.map { it.value.cached(it.key) }

    private fun demoteOldest(nowMillis: Long) {
        val (piece, block) = memory.entries.first()
        memory.remove(piece)
        memoryUsed -= block.declaredBytes
        while (disk.isNotEmpty() && diskUsed + block.declaredBytes > settings.diskBytes) freeOldest(nowMillis)
        if (diskUsed + block.declaredBytes > settings.diskBytes) return evicted(piece, block, nowMillis)
        disk[piece] = block
        diskUsed += block.declaredBytes
    }

    private fun freeOldest(nowMillis: Long) {
        val (piece, block) = disk.entries.first()
        disk.remove(piece)
        diskUsed -= block.declaredBytes
        evicted(piece, block, nowMillis)
    }

    private fun evicted(piece: String, block: StoredBlock, nowMillis: Long) {
        if (block.committed) feed.add(CacheEventKind.EVICTED, block.cached(piece), nowMillis)
    }
}
