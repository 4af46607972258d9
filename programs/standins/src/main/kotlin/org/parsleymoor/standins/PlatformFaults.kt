package org.parsleymoor.standins

import kotlinx.serialization.Serializable

/**
 * The faults of the object service; a later value replaces an earlier one whole. While [down], connections close with
 * no answer and nothing takes effect. [delayMillis] is added to every call. The next [loseWriteResponses] writes or
 * deletions take effect and their connections close with no answer. [silenceOpenWatches] makes the watches that are
 * open now report nothing more and stay open; watches opened later work. [silenceOpenConnections] makes every open
 * connection stay open and answer nothing more.
 */
@Serializable
public data class PlatformFaults(
    public val down: Boolean = false,
    public val delayMillis: Long = 0,
    public val loseWriteResponses: Int = 0,
    public val silenceOpenWatches: Boolean = false,
    public val silenceOpenConnections: Boolean = false,
)
