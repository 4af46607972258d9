package org.parsleymoor.placement

import org.parsleymoor.context.CacheTier
import org.parsleymoor.context.HeldBlock
import org.parsleymoor.context.PieceHash
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.OrganisationId

/**
 * Bounds of a [ReturnAwareRetention]. Times are milliseconds, sizes are blocks. Each call returns at most
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
 * Keeps the blocks with the highest probability of return per time until then, so that space goes to what is needed
 * soonest. Of one context the last pieces are given up first, since a prefix is useful only without a gap.
 */
public class ReturnAwareRetention(
    private val settings: RetentionSettings = RetentionSettings(),
    private val model: ReturnModel = ReturnModel(),
) : RetentionPolicy() {
    private val planned = ArrayDeque<Swap>()
    private var plannedMillis = Long.MIN_VALUE / 2
    private var plannedAny = false

    override fun used(organisation: OrganisationId, pieces: List<PieceHash>, nowMillis: Long): Unit =
        model.used(organisation, pieces, nowMillis)

    override fun export(
        engine: EndpointId,
        store: EndpointId,
        pieces: List<PieceHash>,
        nowMillis: Long,
    ): List<RetentionAction> {
        val expected = pieces.filter { model.expect(it, nowMillis).probability >= settings.minimumReturnProbability }
        return expected.map { RetentionAction.Export(it, engine, store) }
    }

    override fun makeRoom(content: StoreContent, incoming: Int, nowMillis: Long): List<RetentionAction> =
        arrange(content, incoming) { value(it, nowMillis) }

    override fun prefetch(content: StoreContent, nowMillis: Long): List<RetentionAction> {
        val interval = if (plannedAny) settings.planIntervalMillis else settings.idlePlanIntervalMillis
        if (nowMillis - plannedMillis >= interval) plan(content, nowMillis)
        val next = List(minOf(settings.prefetchBatchBlocks, planned.size)) { planned.removeFirst() }
        return next.mapNotNull { it.displaced }.map { RetentionAction.MoveToDisk(it, content.store) } +
            next.map { RetentionAction.Prefetch(it.wanted, content.store) }
    }

    /** Pairs the most valuable blocks on disk with free space in memory, then with the least valuable blocks there. */
    private fun plan(content: StoreContent, nowMillis: Long) {
        val (memory, disk) = content.blocks.partition { it.tier == CacheTier.STORE_MEMORY }
        val due = disk.filter { isDue(it, nowMillis) }.map { it.piece to value(it, nowMillis) }
            .sortedByDescending { it.second }
        val room = maxOf(0, content.memoryBlocks - memory.size)
        val displaced = memory.map { it.piece to value(it, nowMillis) }.sortedBy { it.second }
        val swaps = due.drop(room).zip(displaced).takeWhile { (wanted, given) -> wanted.second > SWAP * given.second }
        plannedMillis = nowMillis
        plannedAny = due.isNotEmpty()
        planned.clear()
        due.take(room).mapTo(planned) { Swap(it.first, null) }
        swaps.mapTo(planned) { (wanted, given) -> Swap(wanted.first, given.first) }
    }

    private fun isDue(block: HeldBlock, nowMillis: Long): Boolean {
        val expected = model.expect(block.piece, nowMillis)
        val likely = expected.probability >= settings.minimumReturnProbability
        return likely && expected.remainingMillis <= settings.prefetchLeadMillis
    }

    private fun value(block: HeldBlock, nowMillis: Long): Double {
        val expected = model.expect(block.piece, nowMillis)
        val remaining = maxOf(settings.minimumRemainingMillis, expected.remainingMillis)
        return expected.probability / remaining * (1 - DEPTH_SHARE * model.depth(block.piece))
    }

    private class Swap(val wanted: PieceHash, val displaced: PieceHash?)

    private companion object {
        /** Two blocks swap tiers only when the value differs clearly, or they would swap back and forth. */
        const val SWAP = 1.2

        /** Small enough to order only blocks of otherwise equal value in prompts of up to 1,000 pieces. */
        const val DEPTH_SHARE = 0.000_1
    }
}
