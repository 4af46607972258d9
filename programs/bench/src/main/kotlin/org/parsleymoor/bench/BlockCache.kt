package org.parsleymoor.bench

import org.parsleymoor.context.CacheChange
import org.parsleymoor.context.CacheTier
import org.parsleymoor.context.HeldBlock
import org.parsleymoor.context.PieceHash
import org.parsleymoor.context.SequencedChange

/** An engine's memory for KV cache: least recently used first out, with the event log that it publishes. */
internal class BlockCache(private val capacity: Int) {
    private val blocks = LinkedHashMap<PieceHash, Unit>(INITIAL_CAPACITY, LOAD_FACTOR, true)
    val log = ChangeLog()

    operator fun contains(piece: PieceHash): Boolean = blocks.containsKey(piece)

    fun add(piece: PieceHash) {
        if (blocks.put(piece, Unit) == null) log.add(CacheChange.Stored(piece, CacheTier.ENGINE))
        if (blocks.size <= capacity) return
        val eldest = blocks.keys.first()
        blocks.remove(eldest)
        log.add(CacheChange.Evicted(eldest))
    }

    fun content(): List<HeldBlock> = blocks.keys.map { HeldBlock(it, CacheTier.ENGINE) }

    fun clear(): Unit = blocks.clear()

    private companion object {
        const val INITIAL_CAPACITY = 1_024
        const val LOAD_FACTOR = 0.75f
    }
}

/** Numbers the changes of a cache until they are published. */
internal class ChangeLog {
    private val pending = ArrayList<SequencedChange>()

    var sequence: Long = 0
        private set

    val isEmpty: Boolean get() = pending.isEmpty()

    fun add(change: CacheChange) {
        pending += SequencedChange(++sequence, change)
    }

    fun drain(): List<SequencedChange> = pending.toList().also { pending.clear() }

    fun restart() {
        pending.clear()
        sequence = 0
    }
}
