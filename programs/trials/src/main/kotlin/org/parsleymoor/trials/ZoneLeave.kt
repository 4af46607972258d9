package org.parsleymoor.trials

/** A zone that was out of service between two times since the epoch. */
internal data class ZoneLeave(val zone: String, val leftMillis: Long, val backMillis: Long)
