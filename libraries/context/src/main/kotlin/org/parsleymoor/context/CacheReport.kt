package org.parsleymoor.context

import org.parsleymoor.core.EndpointId

/** Where its source keeps a block: in an engine's accelerator memory, or in a store's memory or on its disk. */
public enum class CacheTier { ENGINE, STORE_MEMORY, STORE_DISK }

/** A change of one block in a cache. */
public sealed interface CacheChange {
    /** The piece whose block changed. */
    public val piece: PieceHash

    /** The block is now held in [tier], with [generation]. */
    public data class Stored(
        override val piece: PieceHash,
        public val tier: CacheTier,
        public val generation: Long = 0,
    ) : CacheChange

    /** The block is no longer held. */
    public data class Evicted(override val piece: PieceHash) : CacheChange
}

/** A [change] and its number in the event sequence of its source, which begins again at each start of the source. */
public data class SequencedChange(public val sequence: Long, public val change: CacheChange)

/** The block of [piece] as one source holds it. */
public data class HeldBlock(public val piece: PieceHash, public val tier: CacheTier, public val generation: Long = 0)

/** A report to a gateway about the content of one cache. */
public sealed interface CacheReport {
    /** The engine or store that the report describes. */
    public val source: EndpointId

    /** Number of starts of the source; a higher number invalidates all reports with a lower one. */
    public val startCount: Long

    /** Changes in sequence order, possibly late or with gaps; [newestSequence] is the newest at the source. */
    public data class Changes(
        override val source: EndpointId,
        override val startCount: Long,
        public val newestSequence: Long,
        public val changes: List<SequencedChange>,
    ) : CacheReport

    /** The whole content as of [sequence]; a source with more blocks than the protocol allows sends the newest ones. */
    public data class Snapshot(
        override val source: EndpointId,
        override val startCount: Long,
        public val sequence: Long,
        public val blocks: List<HeldBlock>,
    ) : CacheReport

    /** Recently confirmed blocks known to another gateway; does not close a gap in the sequence. */
    public data class Digest(
        override val source: EndpointId,
        override val startCount: Long,
        public val blocks: List<HeldBlock>,
    ) : CacheReport
}

/** An action that the directory requests of its caller. */
public sealed interface DirectoryAction {
    /** The source to which the action applies. */
    public val source: EndpointId

    /** Fetch a snapshot from [source] and pass it to the directory. */
    public data class FetchSnapshot(override val source: EndpointId) : DirectoryAction
}

/** The leading [pieces] of a prompt that one endpoint holds without a gap, and their [blocks]. */
public data class PrefixMatch(
    public val endpoint: EndpointId,
    public val pieces: Int,
    public val blocks: List<HeldBlock>,
)
