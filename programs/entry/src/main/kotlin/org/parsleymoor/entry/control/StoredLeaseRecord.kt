package org.parsleymoor.entry.control

import kotlinx.serialization.Serializable
import org.parsleymoor.coordination.LeaseRecord

/** A lease as it is kept in the object store, with the id of the write that made it. */
@Serializable
internal data class StoredLeaseRecord(val record: LeaseRecord, val writeId: String)
