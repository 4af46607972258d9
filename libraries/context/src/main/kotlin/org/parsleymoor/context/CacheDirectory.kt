package org.parsleymoor.context

import org.parsleymoor.core.EndpointId

/**
 * Limits of a [CacheDirectory]. At most [concurrentSnapshots] are requested at once, and at most one per source and
 * [snapshotIntervalMillis].
 */
public data class CacheDirectorySettings(
    public val maximumBlocks: Int = 400_000,
    public val maximumAgeMillis: Long = 172_800_000,
    public val concurrentSnapshots: Int = 2,
    public val snapshotIntervalMillis: Long = 5_000,
    public val snapshotTimeoutMillis: Long = 10_000,
)

/**
 * A gateway's view of which engine or store holds which block, built from events that may be late or missing. It is
 * only a hint: a wrong entry costs time at the endpoint and never correctness. After a gap in a source's sequence the
 * directory keeps its entries and requests a snapshot. Not thread-safe.
 */
public class CacheDirectory(private val settings: CacheDirectorySettings = CacheDirectorySettings()) {
    internal val index = BlockIndex()
    private val sources = LinkedHashMap<EndpointId, SourceState>()

    /** Number of blocks known over all sources. */
    public val size: Int get() = index.size

    /** Applies a [report] received at [nowMillis]; returns the snapshots to fetch. */
    public fun accept(report: CacheReport, nowMillis: Long): List<DirectoryAction> {
        val state = sources.getOrPut(report.source) { SourceState(report.startCount) }
        if (report.startCount < state.startCount) return emptyList()
        if (report.startCount > state.startCount) {
            index.dropSource(report.source)
            state.restart(report.startCount)
        }
        when (report) {
            is CacheReport.Changes -> applyChanges(report, state, nowMillis)
            is CacheReport.Snapshot -> applySnapshot(report, state, nowMillis)
            is CacheReport.Digest -> report.blocks.forEach { index.put(report.source, it, nowMillis) }
        }
        return tick(nowMillis)
    }

    /** Removes expired entries and returns the snapshots due at [nowMillis]; to be called about once a second. */
    public fun tick(nowMillis: Long): List<DirectoryAction> {
        index.trim(nowMillis - settings.maximumAgeMillis, settings.maximumBlocks)
        val pending = sources.values.count { it.snapshotRunning(nowMillis, settings) }
        val due = sources.entries.filter { it.value.snapshotDue(nowMillis, settings) }
        return due.take(maxOf(0, settings.concurrentSnapshots - pending)).map { (source, state) ->
            state.snapshotRequestedMillis = nowMillis
            state.awaitingSnapshot = true
            DirectoryAction.FetchSnapshot(source)
        }
    }

    /** Returns the sequence of the last event from [source], after which to request events; 0 for an unknown source. */
    public fun sequence(source: EndpointId): Long = sources[source]?.sequence ?: 0

    /** Removes [source] and its entries, for example when it leaves the configuration. */
    public fun forget(source: EndpointId) {
        sources.remove(source) ?: return
        index.dropSource(source)
    }

    /** Removes the entry of [piece] at [source], which a failed read has shown to be wrong. */
    public fun forget(source: EndpointId, piece: PieceHash) {
        index.remove(source, piece)
    }

    /** Returns for each endpoint that holds the first of [pieces] the leading pieces that it holds without a gap. */
    public fun match(pieces: List<PieceHash>): List<PrefixMatch> {
        val first = pieces.firstOrNull() ?: return emptyList()
        return index.holders(first).map { endpoint ->
            val held = pieces.asSequence().map { index.find(endpoint, it) }.takeWhile { it != null }.filterNotNull()
            val blocks = held.toList()
            PrefixMatch(endpoint, blocks.size, blocks)
        }
    }

    /** Returns the endpoints known to hold [piece]. */
    public fun holdersOf(piece: PieceHash): List<EndpointId> = index.holders(piece)

    /** Returns at most [maximumBlocks] blocks confirmed since [sinceMillis], newest first, for other gateways. */
    public fun digest(sinceMillis: Long, maximumBlocks: Int): List<CacheReport.Digest> {
        val recent = index.confirmedSince(sinceMillis).take(maximumBlocks).groupBy({ it.endpoint }, { it.block })
        return recent.map { (source, blocks) ->
            CacheReport.Digest(source, sources.getValue(source).startCount, blocks)
        }
    }

    private fun applyChanges(report: CacheReport.Changes, state: SourceState, nowMillis: Long) {
        for ((sequence, change) in report.changes) {
            if (sequence <= state.sequence) continue
            if (sequence != state.sequence + 1) state.hasGap = true
            state.sequence = sequence
            when (change) {
                is CacheChange.Stored ->
                    index.put(report.source, HeldBlock(change.piece, change.tier, change.generation), nowMillis)
                is CacheChange.Evicted -> index.remove(report.source, change.piece)
            }
        }
        if (report.newestSequence > state.sequence && report.changes.isEmpty()) state.hasGap = true
    }

    private fun applySnapshot(report: CacheReport.Snapshot, state: SourceState, nowMillis: Long) {
        state.awaitingSnapshot = false
        if (report.sequence < state.sequence) return
        index.dropSource(report.source)
        report.blocks.forEach { index.put(report.source, it, nowMillis) }
        state.sequence = report.sequence
        state.hasGap = false
    }
}

/** Returns whether [endpoint] is known to hold [piece]. */
public fun CacheDirectory.holds(endpoint: EndpointId, piece: PieceHash): Boolean = endpoint in holdersOf(piece)

/** Returns the blocks that [endpoint] is known to hold. */
public fun CacheDirectory.blocksOf(endpoint: EndpointId): List<HeldBlock> = index.blocksOf(endpoint)
