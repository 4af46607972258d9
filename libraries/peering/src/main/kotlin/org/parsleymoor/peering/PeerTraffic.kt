package org.parsleymoor.peering

import java.util.concurrent.atomic.LongAdder

/**
 * Control and data messages that a node has sent, as frames and bytes. Bytes include the length prefix of each frame.
 */
public data class PeerTraffic(
    public val controlFrames: Long,
    public val controlBytes: Long,
    public val dataFrames: Long,
    public val dataBytes: Long,
)

/** Counts the frames and bytes that all connections of a node send. */
internal class TrafficCounter {
    private val controlFrames = LongAdder()
    private val controlBytes = LongAdder()
    private val dataFrames = LongAdder()
    private val dataBytes = LongAdder()

    fun count(isControl: Boolean, frameBytes: Int) {
        (if (isControl) controlFrames else dataFrames).increment()
        (if (isControl) controlBytes else dataBytes).add(frameBytes.toLong() + Int.SIZE_BYTES)
    }

    fun total() = PeerTraffic(controlFrames.sum(), controlBytes.sum(), dataFrames.sum(), dataBytes.sum())
}
