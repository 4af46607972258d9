package org.parsleymoor.entry.control

import kotlinx.serialization.Serializable

/**
 * What an instance says of itself: where it listens for peers, its availability zone and processor share in cores, and
 * a count that shows that it is alive.
 */
@Serializable
internal data class MemberRecord(
    val address: String,
    val beats: Long,
    val zone: String = "",
    val processors: Double = 1.0,
)
