package org.parsleymoor.entry.control

import kotlinx.serialization.Serializable
import org.parsleymoor.relay.fleet.SocketAddress

/**
 * Registration of an instance in the object store: the [address] on which it listens for peers, the number of its
 * heartbeats, its availability zone, and its processor share in cores.
 */
@Serializable
internal data class MemberRecord(
    val address: String,
    val beats: Long,
    val zone: String = "",
    val processors: Double = 1.0,
) {
    init {
        require(SocketAddress.parse(address) != null) { "expected host:port in \"address\", found \"$address\"" }
        require(processors in 0.0..MAX_PROCESSORS) { "expected 0 to $MAX_PROCESSORS processors, found $processors" }
    }
}

private const val MAX_PROCESSORS = 100_000.0
