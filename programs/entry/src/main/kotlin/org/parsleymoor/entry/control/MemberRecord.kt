package org.parsleymoor.entry.control

import kotlinx.serialization.Serializable

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
)
