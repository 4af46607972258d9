package org.parsleymoor.execution.atmostonce

import kotlinx.serialization.Serializable
import org.parsleymoor.core.Incarnation

/**
 * The claim of one process on a caller's key. [key] is the digest of organisation and key; [claimedMillis] is read from
 * the clock of the [claimer].
 */
@Serializable
public data class Claim(
    public val key: String,
    public val claimer: Incarnation,
    public val claimedMillis: Long,
)

/** A sealed segment `claims/{shard}.{number}`; its newest claim was made at [newestMillis]. */
@Serializable
public data class SegmentReference(public val number: Long, public val newestMillis: Long)

/** Value of the head object `claims/{shard}`: the newest claims and references to the segments with older ones. */
@Serializable
public data class ClaimHead(
    public val claims: List<Claim> = emptyList(),
    public val segments: List<SegmentReference> = emptyList(),
)

/** A [ClaimHead] as read from the platform, with the object's [version] and the [writeId] of its last write. */
public data class StoredHead(
    public val head: ClaimHead,
    public val version: Long,
    public val writeId: String,
)
