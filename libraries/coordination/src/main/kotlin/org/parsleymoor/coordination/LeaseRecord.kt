package org.parsleymoor.coordination

import kotlinx.serialization.Serializable
import org.parsleymoor.core.Incarnation

/** Value of the platform object `leases/{name}`; [released] means that the holder gave it up before it expired. */
@Serializable
public data class LeaseRecord(
    public val holder: Incarnation,
    public val durationMillis: Long,
    public val released: Boolean = false,
)

/** A [LeaseRecord] as read from the platform, with the object's [version] and the [writeId] of its last write. */
public data class StoredLease(
    public val record: LeaseRecord,
    public val version: Long,
    public val writeId: String,
)
