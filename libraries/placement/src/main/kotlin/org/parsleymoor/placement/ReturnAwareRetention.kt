package org.parsleymoor.placement

import org.parsleymoor.context.CacheTier
import org.parsleymoor.context.HeldBlock
import org.parsleymoor.context.PieceHash
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.OrganisationId

/**
 * Settings of a [ReturnAwareRetention]. Times are milliseconds, sizes are blocks. Each call returns at most
 * [prefetchBatchBlocks] prefetches, so that imports do not wait behind a long queue of prefetches on the disk.
 */
public data class RetentionSettings(
    public val minimumReturnProbability: Double = 0.05,
    public val prefetchLeadMillis: Long = 1_800_000,
    public val planIntervalMillis: Long = 60_000,
    public val idlePlanIntervalMillis: Long = 300_000,
    public val prefetchBatchBlocks: Int = 15,
    public val minimumRemainingMillis: Long = 60_000,
)

/**
 * Values a block by its probability of return divided by the expected time until then, so that space goes to the blocks
 * needed soonest. Within a context the last pieces are evicted first, because a prefix is useful only without a gap.
 */
public class ReturnAwareRetention(
    private val settings: RetentionSettings = RetentionSettings(),
    private val model: ReturnModel = ReturnModel(),
) : RetentionPolicy() {
    private val planned = ArrayDeque<PlannedPrefetch>()
    private var plannedMillis = Long.MIN_VALUE / 2
    private var foundDueBlocks = false

    override fun used(organisation: OrganisationId, pieces: List<PieceHash>, nowMillis: Long): Unit =
        model.used(organisation, pieces, nowMillis)

    override fun export(
        engine: EndpointId,
        store: EndpointId,
        pieces: List<PieceHash>,
        nowMillis: Long,
    ): List<RetentionAction> {
        val expected = pieces.filter {
            model.expectedReturn(it, nowMillis).probability >= settings.minimumReturnProbability
        }
        return expected.map { RetentionAction.Export(it, engine, store) }
    }

    override fun makeRoom(content: StoreContent, incoming: Int, nowMillis: Long): List<RetentionAction> =
        evict(content, incoming) { value(it, nowMillis) }

    override fun prefetch(content: StoreContent, nowMillis: Long): List<RetentionAction> {
        val interval = if (foundDueBlocks) settings.planIntervalMillis else settings.idlePlanIntervalMillis
        if (nowMillis - plannedMillis >= interval) plan(content, nowMillis)
        val batch = List(minOf(settings.prefetchBatchBlocks, planned.size)) { planned.removeFirst() }
        return batch.mapNotNull { it.displaced }.map { RetentionAction.MoveToDisk(it, content.store) } +
            batch.map { RetentionAction.Prefetch(it.wanted, content.store) }
    }

    /** Assigns due blocks on disk, most valuable first, to free memory and then to the least valuable blocks there. */
    private fun plan(content: StoreContent, nowMillis: Long) {
        val (memory, disk) = content.blocks.partition { it.tier == CacheTier.STORE_MEMORY }
        val due = disk.filter { isDue(it, nowMillis) }.map { it.piece to value(it, nowMillis) }
            .sortedByDescending { it.second }
        val freeBlocks = maxOf(0, content.memoryBlocks - memory.size)
        val evictable = memory.map { it.piece to value(it, nowMillis) }.sortedBy { it.second }
        val swaps = due.drop(freeBlocks).zip(evictable)
            .takeWhile { (wanted, displaced) -> wanted.second > SWAP_VALUE_RATIO * displaced.second }
        plannedMillis = nowMillis
        foundDueBlocks = due.isNotEmpty()
        planned.clear()
        due.take(freeBlocks).mapTo(planned) { PlannedPrefetch(it.first, null) }
        swaps.mapTo(planned) { (wanted, displaced) -> PlannedPrefetch(wanted.first, displaced.first) }
    }

    private fun isDue(block: HeldBlock, nowMillis: Long): Boolean {
        val expected = model.expectedReturn(block.piece, nowMillis)
        val likely = expected.probability >= settings.minimumReturnProbability
        return likely && expected.remainingMillis <= settings.prefetchLeadMillis
    }

    private fun value(block: HeldBlock, nowMillis: Long): Double {
        val expected = model.expectedReturn(block.piece, nowMillis)
        val remaining = maxOf(settings.minimumRemainingMillis, expected.remainingMillis)
        return expected.probability / remaining * (1 - DEPTH_PENALTY * model.depth(block.piece))
    }

    private class PlannedPrefetch(val wanted: PieceHash, val displaced: PieceHash?)

    private companion object {
        /** Minimum ratio of the values of two blocks that swap tiers, so that they do not swap back and forth. */
        const val SWAP_VALUE_RATIO = 1.2

        /** Small enough that depth only orders blocks of otherwise equal value in prompts of up to 1,000 pieces. */
        const val DEPTH_PENALTY = 0.000_1
    }
}
