package org.parsleymoor.entry.control

import kotlinx.serialization.Serializable
import org.parsleymoor.coordination.LeaseRecord

/** Content of a lease object: the lease and the id of the write that stored it. */
@Serializable
internal data class StoredLeaseRecord(val record: LeaseRecord, val writeId: String)
