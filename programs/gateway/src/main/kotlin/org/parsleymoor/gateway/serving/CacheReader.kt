package org.parsleymoor.gateway.serving

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onSuccess
import org.parsleymoor.clients.BackEndFailure
import org.parsleymoor.clients.BlockTier
import org.parsleymoor.clients.CacheEvent
import org.parsleymoor.clients.CacheEventKind
import org.parsleymoor.clients.CacheEvents
import org.parsleymoor.clients.CacheSnapshot
import org.parsleymoor.context.CacheChange
import org.parsleymoor.context.CacheReport
import org.parsleymoor.context.CacheTier
import org.parsleymoor.context.HeldBlock
import org.parsleymoor.context.PieceHash
import org.parsleymoor.context.SequencedChange
import org.parsleymoor.core.EndpointId

/** Reads the cache events of [source], and its snapshot after a gap; [tier] maps the tiers that it reports. */
internal class CacheReader(
    private val source: EndpointId,
    private val reports: FleetReports,
    private val tier: (BlockTier) -> CacheTier,
) {
    /** Takes in the events since the last call and returns what they say. */
    suspend fun read(
        events: suspend (Long) -> Result<CacheEvents, BackEndFailure>,
        snapshot: suspend () -> Result<CacheSnapshot, BackEndFailure>,
    ): List<CacheChange> {
        var changes = emptyList<SequencedChange>()
        val known = reports.cacheSequence(source)
        events(known).onSuccess { page ->
            changes = page.events.mapNotNull { change(it) }
            val report = CacheReport.Changes(source, page.startCount, page.newestSequence, changes)
            reports.report(report).forEach { _ -> snapshot().onSuccess { take(it) } }
        }
        return changes.map { it.change }
    }

    private fun take(snapshot: CacheSnapshot) {
        val blocks = snapshot.blocks.mapNotNull { block ->
            PieceHash.parse(block.piece)?.let { HeldBlock(it, tier(block.tier), block.generation) }
        }
        reports.report(CacheReport.Snapshot(source, snapshot.startCount, snapshot.sequence, blocks))
    }

    private fun change(event: CacheEvent): SequencedChange? = PieceHash.parse(event.piece)?.let { hash ->
        val change = when (event.kind) {
            CacheEventKind.STORED -> CacheChange.Stored(hash, tier(event.tier), event.generation)
            CacheEventKind.EVICTED -> CacheChange.Evicted(hash)
        }
        SequencedChange(event.sequence, change)
    }
}
