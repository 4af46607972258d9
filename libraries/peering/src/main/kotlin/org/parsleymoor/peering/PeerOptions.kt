package org.parsleymoor.peering

/**
 * Limits and timeouts of a connection between instances. A connection that receives nothing for [silenceMillis] is
 * closed; this is three heartbeat intervals, so that one lost or late heartbeat does not close it.
 * [queueCapacityFrames] is the capacity of each of its queues: control messages to send, data messages to send, and
 * received messages.
 */
public data class PeerOptions(
    public val frameLimitBytes: Int = 4_194_304,
    public val heartbeatMillis: Long = 1_000,
    public val silenceMillis: Long = 3_000,
    public val connectTimeoutMillis: Long = 1_000,
    public val queueCapacityFrames: Int = 1_024,
)
