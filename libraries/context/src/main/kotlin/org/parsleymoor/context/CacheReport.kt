package org.parsleymoor.context

import org.parsleymoor.core.EndpointId

/** Where a block lies at its source: in an engine's accelerator memory, or in a store's memory or disk. */
public enum class CacheTier { ENGINE, STORE_MEMORY, STORE_DISK }

/** A change of one block at a cache. */
public sealed interface CacheChange {
    /** The block that changed. */
    public val piece: PieceHash

    /** The block is now in [tier] under [generation]. */
    public data class Stored(
        override val piece: PieceHash,
        public val tier: CacheTier,
        public val generation: Long = 0,
    ) : CacheChange

    /** The block is no longer held. */
    public data class Evicted(override val piece: PieceHash) : CacheChange
}

/** A [change] and its place in the event sequence of one start of its source. */
public data class SequencedChange(public val sequence: Long, public val change: CacheChange)

/** One block in a snapshot. */
public data class HeldBlock(public val piece: PieceHash, public val tier: CacheTier, public val generation: Long = 0)

/** What a gateway learns about the content of one cache. */
public sealed interface CacheReport {
    /** The engine or store that the report describes. */
    public val source: EndpointId

    /** Counts the starts of the source; a higher count voids everything known from lower ones. */
    public val startCount: Long

    /** Changes in sequence order, possibly late or with gaps; [newestSequence] is the last that the source has made. */
    public data class Changes(
        override val source: EndpointId,
        override val startCount: Long,
        public val newestSequence: Long,
        public val changes: List<SequencedChange>,
    ) : CacheReport

    /** The whole content as of [sequence]; a source with more blocks than the protocol allows sends the newest. */
    public data class Snapshot(
        override val source: EndpointId,
        override val startCount: Long,
        public val sequence: Long,
        public val blocks: List<HeldBlock>,
    ) : CacheReport

    /** Recently confirmed content as another gateway knows it; never closes a gap in the sequence. */
    public data class Digest(
        override val source: EndpointId,
        override val startCount: Long,
        public val blocks: List<HeldBlock>,
    ) : CacheReport
}

/** What the directory asks its caller to do. */
public sealed interface DirectoryAction {
    /** The source whose content is wanted. */
    public val source: EndpointId

    /** Fetch the snapshot of [source] and hand it to the directory. */
    public data class FetchSnapshot(override val source: EndpointId) : DirectoryAction
}

/** The leading pieces of a prompt that one endpoint holds without a gap, with the [tier] and generation of each. */
public data class PrefixMatch(
    public val endpoint: EndpointId,
    public val pieces: Int,
    public val blocks: List<HeldBlock>,
)
