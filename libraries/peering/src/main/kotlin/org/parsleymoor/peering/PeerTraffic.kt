package org.parsleymoor.peering

import java.util.concurrent.atomic.LongAdder

/** Frames and bytes that a node has sent, by class; the length prefix of each frame is included. */
public data class PeerTraffic(
    public val controlFrames: Long,
    public val controlBytes: Long,
    public val dataFrames: Long,
    public val dataBytes: Long,
)

/** Adds up what all connections of a node send. */
internal class TrafficCounter {
    private val controlFrames = LongAdder()
    private val controlBytes = LongAdder()
    private val dataFrames = LongAdder()
    private val dataBytes = LongAdder()

    fun count(control: Boolean, frameBytes: Int) {
        (if (control) controlFrames else dataFrames).increment()
        (if (control) controlBytes else dataBytes).add(frameBytes.toLong() + Int.SIZE_BYTES)
    }

    fun total() = PeerTraffic(controlFrames.sum(), controlBytes.sum(), dataFrames.sum(), dataBytes.sum())
}
