package org.parsleymoor.bench

import org.parsleymoor.context.CacheChange
import org.parsleymoor.context.CacheTier
import org.parsleymoor.context.HeldBlock
import org.parsleymoor.context.PieceHash
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.RegionId
import org.parsleymoor.placement.RetentionAction
import org.parsleymoor.placement.RetentionPolicy
import org.parsleymoor.placement.StoreContent

/** A KV cache store with a memory, a disk, and a link in each direction. */
internal class SimulatedStore(
    val endpoint: EndpointId,
    val zone: String,
    val region: RegionId,
    private val figures: StoreFigures,
    val retention: RetentionPolicy,
    private val events: EventQueue,
) {
    private val tiers = LinkedHashMap<PieceHash, CacheTier>()
    private val content = StoreContent(endpoint, BlockView(tiers), figures.memoryPieces, figures.diskPieces)
    private val arriving = HashSet<PieceHash>()
    private var inMemory = 0
    private val incoming = TransferLink(figures.memoryBytesPerSecond, figures.blockBytes, events)
    val memory = TransferLink(figures.memoryBytesPerSecond, figures.blockBytes, events)
    val disk = TransferLink(figures.diskBytesPerSecond, figures.blockBytes, events)
    val log = ChangeLog()
    var onChange: () -> Unit = {}

    operator fun contains(piece: PieceHash): Boolean = piece in tiers || piece in arriving

    /** Sends the leading [pieces] that are held; returns how many, and when the last has arrived. */
    fun send(pieces: List<PieceHash>): Pair<Int, Double> {
        val held = pieces.map { tiers[it] }.takeWhile { it != null }
        val arrivals = held.map { if (it == CacheTier.STORE_DISK) disk.transfer() else memory.transfer() }
        return held.size to (arrivals.maxOrNull() ?: events.nowMillis)
    }

    /** Receives [pieces] over the incoming link and keeps them; each is readable when it is whole. */
    fun receive(pieces: List<PieceHash>) {
        for (piece in pieces.filter { it !in this }) {
            arriving += piece
            events.at(incoming.transfer()) { arrived(piece) }
        }
    }

    /** Prefetches only while the disk is free, so that imports wait for one batch at most. */
    fun prefetch() {
        if (disk.isFree) apply(retention.prefetch(content, events.now))
    }

    fun blocks(): List<HeldBlock> = tiers.map { HeldBlock(it.key, it.value) }

    private fun arrived(piece: PieceHash) {
        arriving -= piece
        put(piece, CacheTier.STORE_MEMORY)
        if (inMemory > figures.memoryPieces) {
            apply(retention.makeRoom(content, figures.memoryPieces / ROOM_PARTS, events.now))
        }
    }

    private fun apply(actions: List<RetentionAction>) {
        for (action in actions) {
            when (action) {
                is RetentionAction.Drop -> drop(action.piece)
                is RetentionAction.MoveToDisk -> move(action.piece, CacheTier.STORE_DISK)
                is RetentionAction.Prefetch -> move(action.piece, CacheTier.STORE_MEMORY)
                is RetentionAction.Export -> Unit
            }
        }
        if (actions.isNotEmpty()) onChange()
    }

    /** An action for a block that has moved or gone meanwhile has no effect. */
    private fun move(piece: PieceHash, tier: CacheTier) {
        val known = tiers[piece]
        if (known == null || known == tier) return
        if (known == CacheTier.STORE_DISK) disk.transfer()
        put(piece, tier)
    }

    private fun drop(piece: PieceHash) {
        if (tiers.remove(piece) == CacheTier.STORE_MEMORY) inMemory--
        log.add(CacheChange.Evicted(piece))
    }

    private fun put(piece: PieceHash, tier: CacheTier) {
        if (tiers.put(piece, tier) == CacheTier.STORE_MEMORY) inMemory--
        if (tier == CacheTier.STORE_MEMORY) inMemory++
        log.add(CacheChange.Stored(piece, tier))
        onChange()
    }

    private companion object {
        /** Room is made for a fiftieth of the memory at once, so that ordering the blocks is not paid per block. */
        const val ROOM_PARTS = 50
    }
}

/** The blocks of a store without a copy of them. */
private class BlockView(private val tiers: Map<PieceHash, CacheTier>) : AbstractCollection<HeldBlock>() {
    override val size: Int get() = tiers.size

    override fun iterator(): Iterator<HeldBlock> =
        tiers.entries.asSequence().map { HeldBlock(it.key, it.value) }.iterator()
}
