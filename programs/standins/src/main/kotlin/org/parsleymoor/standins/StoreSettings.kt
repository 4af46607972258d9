package org.parsleymoor.standins

import kotlinx.serialization.Serializable
import org.parsleymoor.core.EndpointId

/**
 * How a KV cache store listens, what its tiers hold and how fast its link is. A block that leaves memory goes to disk;
 * when the disk is full, the block used longest ago is freed. Sizes are the declared sizes of blocks.
 */
public data class StoreSettings(
    public val endpoint: EndpointId,
    public val host: String = "127.0.0.1",
    public val port: Int = 0,
    public val startCount: Long = 1,
    public val memoryBytes: Long = 20_000_000_000,
    public val diskBytes: Long = 100_000_000_000,
    public val memoryBytesPerSecond: Long = 10_000_000_000,
    public val diskBytesPerSecond: Long = 2_000_000_000,
    public val eventLagMillis: Long = 100,
    public val eventHistory: Int = 1_000,
    public val journalFile: String = "",
)

/**
 * The faults of a store; a later value replaces an earlier one whole. The next [partialWrites] writes keep half of
 * their bytes with no commit mark and their connections close. While [full], a write is refused. [slowdown] divides
 * the rate of the link. The next [tornReads] reads send half of the bytes under the checksum of all of them. While
 * [down], connections close with no answer. [silenceOpenConnections] makes every open connection stay open and answer
 * nothing more; while [silent], so does every new one.
 */
@Serializable
public data class StoreFaults(
    public val partialWrites: Int = 0,
    public val full: Boolean = false,
    public val slowdown: Int = 1,
    public val tornReads: Int = 0,
    public val down: Boolean = false,
    public val silenceOpenConnections: Boolean = false,
    public val silent: Boolean = false,
)

/** What became of a call for a block. */
@Serializable
public enum class BlockOutcome {
    WRITTEN,
    PARTIAL,
    REFUSED,
    READ,
    ABSENT,
    STALE_GENERATION,
    NOT_COMMITTED,
    DELETED,
    MOVED,
}

/** One call for a block at a store, at [atMillis] since the epoch. */
@Serializable
public data class BlockCall(
    public val number: Long,
    public val piece: String,
    public val generation: Long,
    public val outcome: BlockOutcome,
    public val bytes: Long,
    public val atMillis: Long,
)
