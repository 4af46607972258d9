package org.parsleymoor.context

import org.parsleymoor.core.EndpointId

/** Bounds of a [CacheDirectory]. Counts are blocks or sources; times are milliseconds. */
public data class CacheDirectorySettings(
    public val maximumBlocks: Int = 400_000,
    public val maximumAgeMillis: Long = 172_800_000,
    public val concurrentSnapshots: Int = 2,
    public val snapshotIntervalMillis: Long = 5_000,
    public val snapshotTimeoutMillis: Long = 10_000,
)

/**
 * A gateway's view of which engine or store holds which block, built from late events with gaps. It is a hint: a wrong
 * entry costs time at the endpoint and never correctness. A gap in a source's sequence keeps what is known and asks for
 * a snapshot; at most [CacheDirectorySettings.concurrentSnapshots] are wanted at once and one per source and interval.
 * Not safe for use from several threads.
 */
public class CacheDirectory(private val settings: CacheDirectorySettings = CacheDirectorySettings()) {
    internal val holders = BlockIndex()
    private val sources = LinkedHashMap<EndpointId, SourceState>()

    /** Number of blocks known over all sources. */
    public val size: Int get() = holders.size

    /** Takes in a [report] received at [nowMillis]; returns the snapshots to fetch. */
    public fun accept(report: CacheReport, nowMillis: Long): List<DirectoryAction> {
        val state = sources.getOrPut(report.source) { SourceState(report.startCount) }
        if (report.startCount < state.startCount) return emptyList()
        if (report.startCount > state.startCount) {
            holders.dropSource(report.source)
            state.restart(report.startCount)
        }
        when (report) {
            is CacheReport.Changes -> applyChanges(report, state, nowMillis)
            is CacheReport.Snapshot -> applySnapshot(report, state, nowMillis)
            is CacheReport.Digest -> report.blocks.forEach { holders.store(report.source, it, nowMillis) }
        }
        return tick(nowMillis)
    }

    /** Drops aged entries and returns the snapshots that are due at [nowMillis]; call it about once a second. */
    public fun tick(nowMillis: Long): List<DirectoryAction> {
        holders.trim(nowMillis - settings.maximumAgeMillis, settings.maximumBlocks)
        val running = sources.values.count { it.snapshotRunning(nowMillis, settings) }
        val due = sources.entries.filter { it.value.snapshotDue(nowMillis, settings) }
        return due.take(maxOf(0, settings.concurrentSnapshots - running)).map { (source, state) ->
            state.requestedMillis = nowMillis
            state.awaiting = true
            DirectoryAction.FetchSnapshot(source)
        }
    }

    /** Returns the last sequence known without a gap from [source], to ask for later events; 0 when it is unknown. */
    public fun sequence(source: EndpointId): Long = sources[source]?.sequence ?: 0

    /** Forgets everything about [source], for example when it leaves the configuration. */
    public fun forget(source: EndpointId) {
        sources.remove(source) ?: return
        holders.dropSource(source)
    }

    /** Drops the hint that [source] holds [piece], which a failed read has shown to be wrong. */
    public fun forget(source: EndpointId, piece: PieceHash) {
        holders.remove(source, piece)
    }

    /** Returns for every endpoint that holds the first piece the length of its unbroken prefix of [pieces]. */
    public fun match(pieces: List<PieceHash>): List<PrefixMatch> {
        val first = pieces.firstOrNull() ?: return emptyList()
        return holders.holders(first).map { endpoint ->
            val held = pieces.asSequence().map { holders.find(endpoint, it) }.takeWhile { it != null }.filterNotNull()
            val blocks = held.toList()
            PrefixMatch(endpoint, blocks.size, blocks)
        }
    }

    /** Returns the endpoints known to hold [piece]. */
    public fun holdersOf(piece: PieceHash): List<EndpointId> = holders.holders(piece)

    /** Returns what was confirmed since [sinceMillis], newest first and at most [maximumBlocks], for other gateways. */
    public fun digest(sinceMillis: Long, maximumBlocks: Int): List<CacheReport.Digest> {
        val recent = holders.confirmedSince(sinceMillis).take(maximumBlocks).groupBy({ it.endpoint }, { it.block })
        return recent.map { (source, blocks) ->
            CacheReport.Digest(source, sources.getValue(source).startCount, blocks)
        }
    }

    private fun applyChanges(report: CacheReport.Changes, state: SourceState, nowMillis: Long) {
        for ((sequence, change) in report.changes) {
            if (sequence <= state.sequence) continue
            if (sequence != state.sequence + 1) state.gap = true
            state.sequence = sequence
            when (change) {
                is CacheChange.Stored ->
                    holders.store(report.source, HeldBlock(change.piece, change.tier, change.generation), nowMillis)
                is CacheChange.Evicted -> holders.remove(report.source, change.piece)
            }
        }
        if (report.newestSequence > state.sequence && report.changes.isEmpty()) state.gap = true
    }

    private fun applySnapshot(report: CacheReport.Snapshot, state: SourceState, nowMillis: Long) {
        state.awaiting = false
        if (report.sequence < state.sequence) return
        holders.dropSource(report.source)
        report.blocks.forEach { holders.store(report.source, it, nowMillis) }
        state.sequence = report.sequence
        state.gap = false
    }
}

/** Returns whether [endpoint] is known to hold [piece]. */
public fun CacheDirectory.holds(endpoint: EndpointId, piece: PieceHash): Boolean = endpoint in holdersOf(piece)

/** Returns the blocks that [endpoint] is known to hold. */
public fun CacheDirectory.blocksOf(endpoint: EndpointId): List<HeldBlock> = holders.blocksOf(endpoint)
