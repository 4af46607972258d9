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

/** Imports the prefix that a placement has chosen from a store. */
internal fun interface PrefixImporter {
    /**
     * Suspends until the engine of [placement] has the blocks or the import is abandoned. Does not fail: the engine
     * recomputes the blocks that it lacks.
     */
    suspend fun fetch(call: CompletionCall, placement: Placement)
}

/**
 * Instructs engines to import blocks from a store. The engine reads each block by its generation and verifies its
 * checksum (I1). An import may take as long as recomputing its blocks, so a slow store at most doubles the time for a
 * prefix.
 */
internal class StorePrefixImporter(
    private val dependencies: ServingDependencies,
    private val state: FleetState,
    private val retention: SharedRetention,
) : PrefixImporter {
    private val metrics = StoreMetrics(dependencies.metrics.registry)
    private val permits = Semaphore(CONCURRENT_IMPORTS)

    override suspend fun fetch(call: CompletionCall, placement: Placement) {
        retention.used(call.organisation.name, call.promptHashes.pieces, dependencies.clock.nowMillis())
        val source = placement.prefix as? PrefixSource.Import ?: return
        val job = createJob(placement.endpoint, source) ?: return
        val span = dependencies.tracing.hop("import", source.store.value, call.span)
        try {
            val outcome = if (permits.tryAcquire()) run(job) else ImportOutcome.Dropped(TransferFailureReason.BUSY)
            updateEstimates(job, outcome)
            record(call, job, outcome, span)
        } finally {
            span.end()
        }
    }

    private suspend fun run(job: ImportJob): ImportOutcome = try {
        val startMillis = dependencies.clock.nowMillis()
        val answer = withTimeoutOrNull(job.timeoutMillis) { job.client.import(job.transfer) }
        val tookMillis = dependencies.clock.nowMillis() - startMillis
        answer?.mapBoth({ ImportOutcome.Done(it, tookMillis) }, { ImportOutcome.Dropped(TransferFailureReason.of(it)) })
            ?: ImportOutcome.Dropped(TransferFailureReason.DEADLINE)
    } finally {
        permits.release()
    }

    private fun createJob(engine: EndpointId, source: PrefixSource.Import): ImportJob? {
        val view = dependencies.configuration.current
        val store = view?.endpoint(source.store)
        val client = view?.endpoint(engine)?.let { dependencies.backEnds.direct(it) }
        if (store == null || client == null) return null
        val pieces = source.blocks.map { TransferPiece(it.piece.toString(), it.generation) }
        val transfer = TransferRequest(store.address, pieces)
        return ImportJob(source, client, transfer, timeoutMillis(engine, pieces.size))
    }

    private fun timeoutMillis(engine: EndpointId, pieces: Int): Long {
        val nowMillis = dependencies.clock.nowMillis()
        val rate = synchronized(state.lock) { state.engine(engine).prefillRate.perSecond(nowMillis) }
        val recomputeMillis = pieces * PromptHashes.PIECE_TOKENS * MILLIS_PER_SECOND / rate
        return maxOf(MINIMUM_TIMEOUT_MILLIS, recomputeMillis.toLong())
    }

    /** Updates the rate estimate of the store and removes blocks that it does not hold from the directory. */
    private fun updateEstimates(job: ImportJob, outcome: ImportOutcome): Unit = synchronized(state.lock) {
        val rate = state.stores.state(job.source.store).rate(job.tier)
        val nowMillis = dependencies.clock.nowMillis()
        when (outcome) {
            is ImportOutcome.Done -> {
                rate.observe(outcome.result.bytes, outcome.millis, nowMillis)
                outcome.result.failed.mapNotNull { PieceHash.parse(it) }
                    .forEach { state.directory.forget(job.source.store, it) }
            }
            is ImportOutcome.Dropped ->
                if (outcome.reason == TransferFailureReason.DEADLINE) {
                    rate.observeTimeout(job.bytes, job.timeoutMillis, nowMillis)
                }
        }
    }

    private fun record(call: CompletionCall, job: ImportJob, outcome: ImportOutcome, span: Span) {
        val store = job.source.store.value
        when (outcome) {
            is ImportOutcome.Done -> {
                val copied = outcome.result.copied.size
                metrics.imported(copied, outcome.result.bytes)
                metrics.importFailed(TransferFailureReason.BLOCK, job.blocks - copied)
                val kind = if (copied > 0) RequestStepKind.IMPORTED else RequestStepKind.IMPORT_FAILED
                dependencies.records.add(call.request, kind, store, "$copied of ${job.blocks} blocks")
                if (copied < job.blocks) span.setStatus(StatusCode.ERROR, TransferFailureReason.BLOCK.tag)
            }
            is ImportOutcome.Dropped -> {
                metrics.importFailed(outcome.reason, job.blocks)
                dependencies.records.add(call.request, RequestStepKind.IMPORT_FAILED, store, outcome.reason.tag)
                span.setStatus(StatusCode.ERROR, outcome.reason.tag)
            }
        }
    }

    private companion object {
        const val CONCURRENT_IMPORTS = 64
        const val MINIMUM_TIMEOUT_MILLIS = 50L
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
