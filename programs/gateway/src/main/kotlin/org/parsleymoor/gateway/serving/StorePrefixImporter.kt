package org.parsleymoor.gateway.serving

import com.github.michaelbull.result.mapBoth
import io.opentelemetry.api.trace.Span
import io.opentelemetry.api.trace.StatusCode
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.withTimeoutOrNull
import org.parsleymoor.clients.RequestStepKind
import org.parsleymoor.clients.TransferPiece
import org.parsleymoor.clients.TransferRequest
import org.parsleymoor.context.PieceHash
import org.parsleymoor.context.PromptHashes
import org.parsleymoor.core.EndpointId
import org.parsleymoor.gateway.operations.StoreMetrics
import org.parsleymoor.gateway.operations.TransferFailureReason
import org.parsleymoor.placement.Placement
import org.parsleymoor.placement.PrefixSource

/** Obtains the prefix that a placement has chosen from a store. */
internal fun interface PrefixImporter {
    /**
     * Suspends until the chosen engine of [placement] has the blocks or the import is dropped. It does not fail: what
     * the engine lacks afterwards is recomputed there.
     */
    suspend fun fetch(call: CompletionCall, placement: Placement)
}

/**
 * Orders engines to import blocks. The engine reads each block under its generation and verifies its checksum (I1). An
 * import may take the time that recomputing its blocks takes, so a slow store at most doubles the time for a prefix.
 */
internal class StorePrefixImporter(
    private val dependencies: ServingDependencies,
    private val state: FleetState,
    private val retention: SharedRetention,
) : PrefixImporter {
    private val metrics = StoreMetrics(dependencies.metrics.registry)
    private val running = Semaphore(CONCURRENT_IMPORTS)

    override suspend fun fetch(call: CompletionCall, placement: Placement) {
        retention.used(call.organisation.name, call.promptHashes.pieces, dependencies.clock.nowMillis())
        val source = placement.prefix as? PrefixSource.Import ?: return
        val order = order(placement.endpoint, source) ?: return
        val span = dependencies.tracing.hop("import", source.store.value, call.span)
        try {
            val outcome = if (running.tryAcquire()) run(order) else ImportOutcome.Dropped(TransferFailureReason.BUSY)
            learn(order, outcome)
            record(call, order, outcome, span)
        } finally {
            span.end()
        }
    }

    private suspend fun run(order: ImportJob): ImportOutcome = try {
        val startMillis = dependencies.clock.nowMillis()
        val answer = withTimeoutOrNull(order.deadlineMillis) { order.client.import(order.transfer) }
        val tookMillis = dependencies.clock.nowMillis() - startMillis
        answer?.mapBoth({ ImportOutcome.Done(it, tookMillis) }, { ImportOutcome.Dropped(TransferFailureReason.of(it)) })
            ?: ImportOutcome.Dropped(TransferFailureReason.DEADLINE)
    } finally {
        running.release()
    }

    private fun order(engine: EndpointId, source: PrefixSource.Import): ImportJob? {
        val view = dependencies.configuration.current
        val store = view?.endpoint(source.store)
        val client = view?.endpoint(engine)?.let { dependencies.backEnds.direct(it) }
        if (store == null || client == null) return null
        val pieces = source.blocks.map { TransferPiece(it.piece.toString(), it.generation) }
        val transfer = TransferRequest(store.address, pieces)
        return ImportJob(source, client, transfer, deadlineMillis(engine, pieces.size))
    }

    private fun deadlineMillis(engine: EndpointId, pieces: Int): Long {
        val nowMillis = dependencies.clock.nowMillis()
        val rate = synchronized(state.lock) { state.engine(engine).prefillRate.perSecond(nowMillis) }
        val recomputeMillis = pieces * PromptHashes.PIECE_TOKENS * MILLIS_PER_SECOND / rate
        return maxOf(SHORTEST_DEADLINE_MILLIS, recomputeMillis.toLong())
    }

    /** Learns the rate of the store and which hints were wrong. */
    private fun learn(order: ImportJob, outcome: ImportOutcome): Unit = synchronized(state.lock) {
        val rate = state.stores.state(order.source.store).rate(order.tier)
        val nowMillis = dependencies.clock.nowMillis()
        when (outcome) {
            is ImportOutcome.Done -> {
                rate.observe(outcome.result.bytes, outcome.millis, nowMillis)
                outcome.result.failed.mapNotNull { PieceHash.parse(it) }
                    .forEach { state.directory.forget(order.source.store, it) }
            }
            is ImportOutcome.Dropped ->
                if (outcome.reason == TransferFailureReason.DEADLINE) {
                    rate.observeTimeout(order.bytes, order.deadlineMillis, nowMillis)
                }
        }
    }

    private fun record(call: CompletionCall, order: ImportJob, outcome: ImportOutcome, span: Span) {
        val store = order.source.store.value
        when (outcome) {
            is ImportOutcome.Done -> {
                val copied = outcome.result.copied.size
                metrics.imported(copied, outcome.result.bytes)
                metrics.importFailed(TransferFailureReason.BLOCK, order.blocks - copied)
                val kind = if (copied > 0) RequestStepKind.IMPORTED else RequestStepKind.IMPORT_FAILED
                dependencies.records.add(call.request, kind, store, "$copied of ${order.blocks} blocks")
                if (copied < order.blocks) span.setStatus(StatusCode.ERROR, TransferFailureReason.BLOCK.tag)
            }
            is ImportOutcome.Dropped -> {
                metrics.importFailed(outcome.reason, order.blocks)
                dependencies.records.add(call.request, RequestStepKind.IMPORT_FAILED, store, outcome.reason.tag)
                span.setStatus(StatusCode.ERROR, outcome.reason.tag)
            }
        }
    }

    private companion object {
        const val CONCURRENT_IMPORTS = 64
        const val SHORTEST_DEADLINE_MILLIS = 50L
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
