package org.parsleymoor.placement

import org.parsleymoor.context.CacheTier
import org.parsleymoor.context.HeldBlock
import org.parsleymoor.context.PieceHash
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.OrganisationId

/** What a store holds, and its capacity in blocks. */
public data class StoreContent(
    public val store: EndpointId,
    public val blocks: Collection<HeldBlock>,
    public val memoryBlocks: Int,
    public val diskBlocks: Int,
)

/** Decides what a store keeps. One gateway decides for a store; the others tell it which blocks their requests used. */
public sealed class RetentionPolicy {
    /** Records at [nowMillis] that a request of [organisation] used [pieces]. */
    public abstract fun used(organisation: OrganisationId, pieces: List<PieceHash>, nowMillis: Long)

    /** Returns the exports worth their space in [store] of [pieces], which [engine] holds and the store lacks. */
    public abstract fun export(
        engine: EndpointId,
        store: EndpointId,
        pieces: List<PieceHash>,
        nowMillis: Long,
    ): List<RetentionAction>

    /**
     * Returns what to move to disk and what to drop so that [incoming] more blocks fit in the memory of [content]'s
     * store and both tiers are within their capacity.
     */
    public abstract fun makeRoom(content: StoreContent, incoming: Int, nowMillis: Long): List<RetentionAction>

    /** Returns the blocks to bring from disk to memory before they are needed, and what makes room for them. */
    public abstract fun prefetch(content: StoreContent, nowMillis: Long): List<RetentionAction>

    /** Fills memory with the most valuable blocks, then disk; [value] is higher for a block worth more. */
    protected fun arrange(content: StoreContent, incoming: Int, value: (HeldBlock) -> Double): List<RetentionAction> {
        val excessMemory = content.blocks.count { it.tier == CacheTier.STORE_MEMORY } + incoming - content.memoryBlocks
        if (excessMemory <= 0) return emptyList()
        val ordered = content.blocks.map { it to value(it) }.sortedBy { it.second }.map { it.first }
        val excess = content.blocks.size + incoming - content.memoryBlocks - content.diskBlocks
        val dropped = ordered.take(maxOf(0, excess))
        val droppedFromMemory = dropped.count { it.tier == CacheTier.STORE_MEMORY }
        val moved = ordered.drop(dropped.size).filter { it.tier == CacheTier.STORE_MEMORY }
            .take(maxOf(0, excessMemory - droppedFromMemory))
        return dropped.map { RetentionAction.Drop(it.piece, content.store) } +
            moved.map { RetentionAction.MoveToDisk(it.piece, content.store) }
    }
}
