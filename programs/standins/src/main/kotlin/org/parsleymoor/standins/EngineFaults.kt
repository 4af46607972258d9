package org.parsleymoor.standins

import kotlinx.serialization.Serializable

/**
 * The faults of an engine; a later value replaces an earlier one whole. [delayMillis] is added before each token.
 * [silenceOpenConnections] makes every open connection stay open and answer nothing more. [turnCold] starts the
 * engine again without breaking a connection: a higher start count, an empty cache, a cold limit. [fallOver] breaks
 * every connection and starts it again. The next [truncateStreams] streams end half way with no final event, the
 * next [crossTokens] tokens come after a token of another attempt, and the next [dropCacheEvents] cache events are
 * never reported. While [refuseAll], every request is refused as stopping. The next [loseOrderAnswers] orders take
 * effect and their connections close with no answer.
 */
@Serializable
public data class EngineFaults(
    public val delayMillis: Long = 0,
    public val silenceOpenConnections: Boolean = false,
    public val turnCold: Boolean = false,
    public val fallOver: Boolean = false,
    public val truncateStreams: Int = 0,
    public val crossTokens: Int = 0,
    public val dropCacheEvents: Int = 0,
    public val refuseAll: Boolean = false,
    public val loseOrderAnswers: Int = 0,
)
