package org.parsleymoor.peering

/**
 * Bounds of a connection between gateways. [silenceMillis] is three heartbeat periods, so that one lost or late
 * heartbeat does not end a connection. [queueCapacityFrames] bounds each outgoing queue.
 */
public data class PeerOptions(
    public val frameLimitBytes: Int = 4_194_304,
    public val heartbeatMillis: Long = 1_000,
    public val silenceMillis: Long = 3_000,
    public val connectTimeoutMillis: Long = 1_000,
    public val queueCapacityFrames: Int = 1_024,
)
