package org.parsleymoor.placement

import org.parsleymoor.context.CacheTier
import org.parsleymoor.context.HeldBlock
import org.parsleymoor.context.PieceHash
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.OrganisationId

/** The [blocks] that a store holds, and the capacity of its memory and disk in blocks. */
public data class StoreContent(
    public val store: EndpointId,
    public val blocks: Collection<HeldBlock>,
    public val memoryBlocks: Int,
    public val diskBlocks: Int,
)

/** Decides which blocks a store keeps. One gateway decides per store; the others report the blocks they use to it. */
public sealed class RetentionPolicy {
    /** Records at [nowMillis] that a request of [organisation] used [pieces]. */
    public abstract fun used(organisation: OrganisationId, pieces: List<PieceHash>, nowMillis: Long)

    /** Returns the exports worth their space among [pieces], which [engine] holds and [store] lacks. */
    public abstract fun export(
        engine: EndpointId,
        store: EndpointId,
        pieces: List<PieceHash>,
        nowMillis: Long,
    ): List<RetentionAction>

    /**
     * Returns the blocks to move to disk and those to drop so that [incoming] more blocks fit in the store's memory and
     * both tiers stay within their capacity.
     */
    public abstract fun makeRoom(content: StoreContent, incoming: Int, nowMillis: Long): List<RetentionAction>

    /** Returns the blocks to load from disk into memory ahead of use, and the moves to disk that make room for them. */
    public abstract fun prefetch(content: StoreContent, nowMillis: Long): List<RetentionAction>

    /** Drops the blocks of lowest [value], and moves the next lowest to disk, once memory exceeds its capacity. */
    protected fun evict(content: StoreContent, incoming: Int, value: (HeldBlock) -> Double): List<RetentionAction> {
        val excessMemory = content.blocks.count { it.tier == CacheTier.STORE_MEMORY } + incoming - content.memoryBlocks
        if (excessMemory <= 0) return emptyList()
        val byValue = content.blocks.map { it to value(it) }.sortedBy { it.second }.map { it.first }
        val excessBlocks = content.blocks.size + incoming - content.memoryBlocks - content.diskBlocks
        val dropped = byValue.take(maxOf(0, excessBlocks))
        val droppedFromMemory = dropped.count { it.tier == CacheTier.STORE_MEMORY }
        val moved = byValue.drop(dropped.size).filter { it.tier == CacheTier.STORE_MEMORY }
            .take(maxOf(0, excessMemory - droppedFromMemory))
        return dropped.map { RetentionAction.Drop(it.piece, content.store) } +
            moved.map { RetentionAction.MoveToDisk(it.piece, content.store) }
    }
}
