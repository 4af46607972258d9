package org.parsleymoor.gateway.serving

import com.github.michaelbull.result.onSuccess
import org.parsleymoor.clients.BlockTier
import org.parsleymoor.clients.CacheEvent
import org.parsleymoor.clients.CacheEventKind
import org.parsleymoor.configuration.EndpointDeclaration
import org.parsleymoor.configuration.EndpointKind
import org.parsleymoor.context.CacheChange
import org.parsleymoor.context.CacheReport
import org.parsleymoor.context.CacheTier
import org.parsleymoor.context.DirectoryAction
import org.parsleymoor.context.HeldBlock
import org.parsleymoor.context.PieceHash
import org.parsleymoor.context.SequencedChange
import org.parsleymoor.gateway.ConfigurationHolder

/** Reads the cache events of engines and stores, and the snapshots that the cache directory requests. */
internal class CacheReader(
    private val configuration: ConfigurationHolder,
    private val backEnds: BackEndClients,
    private val reports: FleetReports,
) {
    /** Applies the events of [endpoint] since the last call to the directory and returns the changes. */
    suspend fun read(endpoint: EndpointDeclaration): List<CacheChange> {
        var changes = emptyList<SequencedChange>()
        backEnds.cache(endpoint)?.cacheEvents(reports.cacheSequence(endpoint.name))?.onSuccess { page ->
            changes = page.events.mapNotNull { endpoint.toSequencedChange(it) }
            val report = CacheReport.Changes(endpoint.name, page.startCount, page.newestSequence, changes)
            reports.report(report).forEach { fetch(it) }
        }
        return changes.map { it.change }
    }

    /**
     * Fetches the snapshot that the directory requests. Its source may differ from the endpoint that has just reported,
     * for example after a lost snapshot.
     */
    private suspend fun fetch(action: DirectoryAction) {
        val endpoint = configuration.current?.endpoint(action.source) ?: return
        backEnds.cache(endpoint)?.cacheSnapshot()?.onSuccess { snapshot ->
            val blocks = snapshot.blocks.mapNotNull { block ->
                PieceHash.parse(block.piece)?.let { HeldBlock(it, endpoint.cacheTier(block.tier), block.generation) }
            }
            reports.report(CacheReport.Snapshot(endpoint.name, snapshot.startCount, snapshot.sequence, blocks))
        }
    }

    private fun EndpointDeclaration.toSequencedChange(event: CacheEvent): SequencedChange? =
        PieceHash.parse(event.piece)?.let { hash ->
            val change = when (event.kind) {
                CacheEventKind.STORED -> CacheChange.Stored(hash, cacheTier(event.tier), event.generation)
                CacheEventKind.EVICTED -> CacheChange.Evicted(hash)
            }
            SequencedChange(event.sequence, change)
        }

    private fun EndpointDeclaration.cacheTier(tier: BlockTier): CacheTier =
        if (kind == EndpointKind.ENGINE) CacheTier.ENGINE else cacheTierOf(tier)
}

/** Returns the directory's tier for a block that a store holds in [tier]. */
internal fun cacheTierOf(tier: BlockTier): CacheTier =
    if (tier == BlockTier.DISK) CacheTier.STORE_DISK else CacheTier.STORE_MEMORY
