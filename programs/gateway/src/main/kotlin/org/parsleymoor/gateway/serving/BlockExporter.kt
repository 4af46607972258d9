package org.parsleymoor.gateway.serving

import com.github.michaelbull.result.mapBoth
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import org.parsleymoor.clients.TransferPiece
import org.parsleymoor.clients.TransferRequest
import org.parsleymoor.clients.TransferResult
import org.parsleymoor.configuration.EndpointDeclaration
import org.parsleymoor.configuration.EndpointKind
import org.parsleymoor.context.CacheChange
import org.parsleymoor.context.PieceHash
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.rendezvousOrder
import org.parsleymoor.gateway.ServingView
import org.parsleymoor.gateway.operations.StoreMetrics
import org.parsleymoor.gateway.operations.TransferFailureReason
import java.util.concurrent.ConcurrentHashMap

/**
 * Instructs engines to export blocks to a KV cache store of their region. A block is exported soon after the engine
 * stored it, because engines do not announce evictions in advance. Every gateway follows the cache events of every
 * engine, so that it can take over, but only the leader of an engine starts exports. An engine runs one export at a
 * time.
 */
internal class BlockExporter(
    private val dependencies: ServingDependencies,
    private val state: FleetState,
    private val retention: SharedRetention,
    private val leadership: CacheLeadership,
) {
    private val metrics = StoreMetrics(dependencies.metrics.registry)
    private val queues = ConcurrentHashMap<EndpointId, EngineExportQueue>()
    private val backoff = ExportBackoff()
    private val permits = Semaphore(CONCURRENT_EXPORTS)

    /** Records the cache events of [engine]. */
    fun acceptChanges(engine: EndpointId, changes: List<CacheChange>) {
        queue(engine).accept(changes)
        val stored = changes.filterIsInstance<CacheChange.Stored>().map { it.piece }
        retention.stored(stored, dependencies.clock.nowMillis())
    }

    /** Starts the due exports in the background. */
    fun startDueExports(view: ServingView) {
        val engines = view.endpoints(EndpointKind.ENGINE)
        queues.keys.retainAll(engines.map { it.name }.toSet())
        engines.forEach { engine -> startExport(engine, view) }
    }

    private fun queue(engine: EndpointId) = queues.computeIfAbsent(engine) { EngineExportQueue() }

    private fun startExport(engine: EndpointDeclaration, view: ServingView) {
        val stores = view.storesInRegionOf(engine)
        val store = targetStore(engine, stores, view) ?: return
        val storeIds = stores.map { it.name }.toSet()
        val batch = queue(engine.name).takeBatch(BATCH_SIZE) { isHeld(it, storeIds) }
        if (batch.isEmpty()) return
        val selected = retention.selectForExport(engine.name, store.name, batch, dependencies.clock.nowMillis())
        dependencies.background.launch {
            var retry = selected
            try {
                if (selected.isNotEmpty()) permits.withPermit { retry = export(engine, store, selected) }
            } finally {
                queue(engine.name).finishBatch(retry)
            }
        }
    }

    private fun isHeld(piece: PieceHash, stores: Set<EndpointId>): Boolean =
        synchronized(state.lock) { state.directory.holdersOf(piece).any { it in stores } }

    /** Returns the store to export to; null if another gateway leads [engine] or no store accepts blocks. */
    private fun targetStore(
        engine: EndpointDeclaration,
        stores: List<EndpointDeclaration>,
        view: ServingView,
    ): EndpointDeclaration? {
        val region = view.regionOf(engine.zone)
        if (region == null || !leadership.isLeader(region, engine.name)) return null
        val nowMillis = dependencies.clock.nowMillis()
        val usable = stores.filter { view.takesNewWork(it.name) && hasRoom(it.name) }
            .filterNot { backoff.isPaused(it.name, nowMillis) }
        return rendezvousOrder(engine.name.value, usable) { it.name.value }.firstOrNull()
    }

    private fun hasRoom(store: EndpointId): Boolean = synchronized(state.lock) {
        val load = state.stores.state(store).load
        state.stores.hasRecentReport(store) && load != null &&
            load.memoryBytes + load.diskBytes < load.memoryCapacityBytes + load.diskCapacityBytes
    }

    /** Exports [pieces] and returns those to retry. */
    private suspend fun export(
        engine: EndpointDeclaration,
        store: EndpointDeclaration,
        pieces: List<PieceHash>,
    ): List<PieceHash> {
        val transfer = TransferRequest(store.address, pieces.map { TransferPiece(it.toString()) })
        return dependencies.backEnds.direct(engine).export(transfer).mapBoth(
            { exportFinished(engine.name, store.name, pieces, it) },
            {
                metrics.exportFailed(TransferFailureReason.of(it), pieces.size)
                backoff.failed(store.name, dependencies.clock.nowMillis())
                pieces
            },
        )
    }

    /**
     * Records the result of an export and returns the pieces to retry. A store that copied nothing is full or
     * unreachable for the engine; the backoff keeps exports to it from being repeated without end.
     */
    private fun exportFinished(
        engine: EndpointId,
        store: EndpointId,
        pieces: List<PieceHash>,
        result: TransferResult,
    ): List<PieceHash> {
        metrics.exported(result.copied.size, result.bytes)
        metrics.exportFailed(TransferFailureReason.BLOCK, pieces.size - result.copied.size)
        if (result.copied.isEmpty()) backoff.failed(store, dependencies.clock.nowMillis()) else backoff.succeeded(store)
        val copied = result.copied.map { it.piece }.toSet()
        val missing = pieces.filter { it.toString() !in copied }
        return synchronized(state.lock) { missing.filter { engine in state.directory.holdersOf(it) } }
    }

    private companion object {
        const val CONCURRENT_EXPORTS = 4
        const val BATCH_SIZE = 8
    }
}

private fun ServingView.storesInRegionOf(engine: EndpointDeclaration): List<EndpointDeclaration> =
    endpoints(EndpointKind.STORE).filter { regionOf(it.zone) == regionOf(engine.zone) }
