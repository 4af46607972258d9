package org.parsleymoor.gateway.serving

import com.github.michaelbull.result.onSuccess
import kotlinx.coroutines.launch
import org.parsleymoor.clients.BlockTier
import org.parsleymoor.clients.StoreLoad
import org.parsleymoor.configuration.EndpointDeclaration
import org.parsleymoor.configuration.EndpointKind
import org.parsleymoor.context.CacheReport
import org.parsleymoor.context.HeldBlock
import org.parsleymoor.context.PieceHash
import org.parsleymoor.context.blocksOf
import org.parsleymoor.core.EndpointId
import org.parsleymoor.gateway.ServingView
import org.parsleymoor.gateway.operations.StoreMetrics
import org.parsleymoor.placement.PlacementSettings
import org.parsleymoor.placement.RetentionAction
import org.parsleymoor.placement.StoreContent
import java.util.concurrent.ConcurrentHashMap

/**
 * Moves blocks between the tiers of the stores that this gateway leads, and drops the least valuable blocks. A store
 * runs one batch of actions at a time, one block after another.
 */
internal class StoreTierManager(
    private val dependencies: ServingDependencies,
    private val state: FleetState,
    private val retention: SharedRetention,
    private val leadership: CacheLeadership,
) {
    private val metrics = StoreMetrics(dependencies.metrics.registry)
    private val busyStores = ConcurrentHashMap.newKeySet<EndpointId>()

    /** Starts the due actions in the background. */
    fun startDueActions(view: ServingView) {
        view.endpoints(EndpointKind.STORE).filter { isLed(it, view) }.forEach { store ->
            val load = synchronized(state.lock) { state.stores.state(store.name).load }
            if (load != null) startActions(store, load)
        }
    }

    private fun isLed(store: EndpointDeclaration, view: ServingView): Boolean {
        val region = view.regionOf(store.zone) ?: return false
        return leadership.isLeader(region, store.name) &&
            synchronized(state.lock) { state.stores.hasRecentReport(store.name) }
    }

    private fun startActions(store: EndpointDeclaration, load: StoreLoad) {
        if (!busyStores.add(store.name)) return
        val actions = dueActions(content(store.name, load), load)
        dependencies.background.launch {
            try {
                actions.forEach { perform(it, store) }
            } finally {
                busyStores -= store.name
            }
        }
    }

    /** Returns the due actions. Prefetches wait until nothing is queued at the store, so as not to delay imports. */
    private fun dueActions(content: StoreContent, load: StoreLoad): List<RetentionAction> {
        val incoming = maxOf(1, content.memoryBlocks / MEMORY_BATCHES)
        val nowMillis = dependencies.clock.nowMillis()
        return when {
            load.memoryBytes + incoming * BLOCK_BYTES > load.memoryCapacityBytes ->
                retention.makeRoom(content, incoming, nowMillis)
            load.queuedBytes == 0L -> retention.prefetch(content, nowMillis)
            else -> emptyList()
        }
    }

    private fun content(store: EndpointId, load: StoreLoad) = StoreContent(
        store = store,
        blocks = LazyBlocks { synchronized(state.lock) { state.directory.blocksOf(store) } },
        memoryBlocks = (load.memoryCapacityBytes / BLOCK_BYTES).toInt(),
        diskBlocks = (load.diskCapacityBytes / BLOCK_BYTES).toInt(),
    )

    /**
     * Performs [action] and updates the directory at once; otherwise the next round would repeat the action before the
     * store's events arrive.
     */
    private suspend fun perform(action: RetentionAction, store: EndpointDeclaration) {
        when (action) {
            is RetentionAction.Drop -> dependencies.backEnds.store(store).delete(action.piece.toString()).onSuccess {
                metrics.kept("dropped")
                synchronized(state.lock) { state.directory.forget(store.name, action.piece) }
            }
            is RetentionAction.MoveToDisk ->
                if (move(store, action.piece, BlockTier.DISK)) metrics.kept("moved_to_disk")
            is RetentionAction.Prefetch ->
                if (move(store, action.piece, BlockTier.MEMORY)) metrics.kept("prefetched")
            is RetentionAction.Export -> Unit
        }
    }

    private suspend fun move(store: EndpointDeclaration, piece: PieceHash, tier: BlockTier): Boolean {
        val matches = synchronized(state.lock) { state.directory.match(listOf(piece)) }
        val block = matches.firstOrNull { it.endpoint == store.name }?.blocks?.firstOrNull() ?: return false
        val moved = dependencies.backEnds.store(store).move(piece.toString(), block.generation, tier)
        moved.onSuccess { recordMove(store.name, block.copy(tier = cacheTierOf(tier))) }
        return moved.isOk
    }

    private fun recordMove(store: EndpointId, block: HeldBlock): Unit = synchronized(state.lock) {
        val load = state.stores.state(store).load ?: return
        state.directory.accept(
            CacheReport.Digest(store, load.startCount, listOf(block)),
            dependencies.clock.nowMillis(),
        )
    }

    private companion object {
        val BLOCK_BYTES = PlacementSettings().blockBytes

        // A batch frees a fiftieth of the memory, so that the blocks are not sorted again for each incoming block.
        const val MEMORY_BATCHES = 50
    }
}

/** Reads the blocks only when the retention policy uses them, which it does when it computes a plan. */
private class LazyBlocks(read: () -> List<HeldBlock>) : AbstractCollection<HeldBlock>() {
    private val blocks by lazy(read)

    override val size: Int get() = blocks.size

    override fun iterator(): Iterator<HeldBlock> = blocks.iterator()
}
