package org.parsleymoor.gateway.serving

import com.github.michaelbull.result.onSuccess
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import org.parsleymoor.clients.CacheEvent
import org.parsleymoor.clients.CacheEventKind
import org.parsleymoor.clients.EngineClient
import org.parsleymoor.configuration.EndpointDeclaration
import org.parsleymoor.configuration.EndpointKind
import org.parsleymoor.context.CacheChange
import org.parsleymoor.context.CacheReport
import org.parsleymoor.context.CacheTier
import org.parsleymoor.context.HeldBlock
import org.parsleymoor.context.PieceHash
import org.parsleymoor.context.SequencedChange
import org.parsleymoor.core.Clock
import org.parsleymoor.core.EndpointId
import org.parsleymoor.gateway.ConfigurationHolder

/** Reads load reports and cache events of the engines every [intervalMillis] until it is cancelled. */
internal class EngineObserver(
    private val configuration: ConfigurationHolder,
    private val backEnds: BackEnds,
    private val reports: FleetReports,
    private val clock: Clock,
    private val intervalMillis: Long = 500,
) {
    private val calls = Semaphore(CONCURRENT_CALLS)

    suspend fun run() {
        while (true) {
            val engines = configuration.current?.endpoints(EndpointKind.ENGINE).orEmpty()
            coroutineScope {
                engines.forEach { engine -> launch { calls.withPermit { observe(engine) } } }
            }
            delay(intervalMillis)
        }
    }

    private suspend fun observe(engine: EndpointDeclaration) {
        val client = backEnds.direct(engine)
        val askedMillis = clock.nowMillis()
        client.load().onSuccess { reports.report(engine.name, it, askedMillis) }
        client.cacheEvents(reports.cacheSequence(engine.name)).onSuccess { events ->
            val changes = events.events.mapNotNull { it.toChange() }
            val report = CacheReport.Changes(engine.name, events.startCount, events.newestSequence, changes)
            reports.report(report).forEach { _ -> fetchSnapshot(engine.name, client) }
        }
    }

    private suspend fun fetchSnapshot(engine: EndpointId, client: EngineClient) {
        client.cacheSnapshot().onSuccess { snapshot ->
            val blocks = snapshot.blocks.mapNotNull { block ->
                PieceHash.parse(block.piece)?.let { HeldBlock(it, CacheTier.ENGINE, block.generation) }
            }
            reports.report(CacheReport.Snapshot(engine, snapshot.startCount, snapshot.sequence, blocks))
        }
    }

    private fun CacheEvent.toChange(): SequencedChange? = PieceHash.parse(piece)?.let { hash ->
        val change = when (kind) {
            CacheEventKind.STORED -> CacheChange.Stored(hash, CacheTier.ENGINE, generation)
            CacheEventKind.EVICTED -> CacheChange.Evicted(hash)
        }
        SequencedChange(sequence, change)
    }

    private companion object {
        const val CONCURRENT_CALLS = 32
    }
}
