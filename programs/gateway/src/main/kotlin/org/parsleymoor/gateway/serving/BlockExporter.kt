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
 * Orders engines to export blocks to a store of their region, soon after a block is stored, since an engine does not
 * say beforehand what it evicts. Every gateway follows the events of every engine, so that another one can take over,
 * but only the one that [leads] an engine orders exports. An engine runs one export at a time.
 */
internal class BlockExporter(
    private val dependencies: ServingDependencies,
    private val state: FleetState,
    private val retention: SharedRetention,
    private val leadership: CacheLeadership,
) {
    private val metrics = StoreMetrics(dependencies.metrics.registry)
    private val lanes = ConcurrentHashMap<EndpointId, EngineExportQueue>()
    private val pauses = ExportBackoff()
    private val running = Semaphore(CONCURRENT_EXPORTS)

    /** Takes in the cache events of [engine]. */
    fun acceptChanges(engine: EndpointId, changes: List<CacheChange>) {
        lane(engine).accept(changes)
        val stored = changes.filterIsInstance<CacheChange.Stored>().map { it.piece }
        retention.stored(stored, dependencies.clock.nowMillis())
    }

    /** Starts the exports that are due, without waiting for them. */
    fun startDueExports(view: ServingView) {
        val engines = view.endpoints(EndpointKind.ENGINE)
        lanes.keys.retainAll(engines.map { it.name }.toSet())
        engines.forEach { engine -> start(engine, view) }
    }

    private fun lane(engine: EndpointId) = lanes.computeIfAbsent(engine) { EngineExportQueue() }

    private fun start(engine: EndpointDeclaration, view: ServingView) {
        val stores = view.storesNear(engine)
        val store = target(engine, stores, view) ?: return
        val holders = stores.map { it.name }.toSet()
        val batch = lane(engine.name).takeBatch(BATCH) { isHeld(it, holders) }
        if (batch.isEmpty()) return
        val wanted = retention.selectForExport(engine.name, store.name, batch, dependencies.clock.nowMillis())
        dependencies.background.launch {
            var again = wanted
            try {
                if (wanted.isNotEmpty()) running.withPermit { again = export(engine, store, wanted) }
            } finally {
                lane(engine.name).finishBatch(again)
            }
        }
    }

    private fun isHeld(piece: PieceHash, stores: Set<EndpointId>): Boolean =
        synchronized(state.lock) { state.directory.holdersOf(piece).any { it in stores } }

    /** The store for blocks of [engine]; null when another gateway leads the engine or no store takes blocks now. */
    private fun target(
        engine: EndpointDeclaration,
        stores: List<EndpointDeclaration>,
        view: ServingView,
    ): EndpointDeclaration? {
        val region = view.regionOf(engine.zone)
        if (region == null || !leadership.isLeader(region, engine.name)) return null
        val nowMillis = dependencies.clock.nowMillis()
        val usable = stores.filter { view.takesNewWork(it.name) && hasRoom(it.name) }
            .filterNot { pauses.isPaused(it.name, nowMillis) }
        return rendezvousOrder(engine.name.value, usable) { it.name.value }.firstOrNull()
    }

    private fun hasRoom(store: EndpointId): Boolean = synchronized(state.lock) {
        val load = state.stores.state(store).load
        state.stores.hasRecentReport(store) && load != null &&
            load.memoryBytes + load.diskBytes < load.memoryCapacityBytes + load.diskCapacityBytes
    }

    /** Returns the pieces to try again. */
    private suspend fun export(
        engine: EndpointDeclaration,
        store: EndpointDeclaration,
        pieces: List<PieceHash>,
    ): List<PieceHash> {
        val transfer = TransferRequest(store.address, pieces.map { TransferPiece(it.toString()) })
        return dependencies.backEnds.direct(engine).export(transfer).mapBoth(
            { exported(engine.name, store.name, pieces, it) },
            {
                metrics.exportFailed(TransferFailureReason.of(it), pieces.size)
                pauses.failed(store.name, dependencies.clock.nowMillis())
                pieces
            },
        )
    }

    /** A store that took nothing is full or does not answer the engine; without a pause it would be asked for ever. */
    private fun exported(
        engine: EndpointId,
        store: EndpointId,
        pieces: List<PieceHash>,
        result: TransferResult,
    ): List<PieceHash> {
        metrics.exported(result.copied.size, result.bytes)
        metrics.exportFailed(TransferFailureReason.BLOCK, pieces.size - result.copied.size)
        if (result.copied.isEmpty()) pauses.failed(store, dependencies.clock.nowMillis()) else pauses.succeeded(store)
        val copied = result.copied.map { it.piece }.toSet()
        val missing = pieces.filter { it.toString() !in copied }
        return synchronized(state.lock) { missing.filter { engine in state.directory.holdersOf(it) } }
    }

    private companion object {
        const val CONCURRENT_EXPORTS = 4
        const val BATCH = 8
    }
}

private fun ServingView.storesNear(engine: EndpointDeclaration): List<EndpointDeclaration> =
    endpoints(EndpointKind.STORE).filter { regionOf(it.zone) == regionOf(engine.zone) }
