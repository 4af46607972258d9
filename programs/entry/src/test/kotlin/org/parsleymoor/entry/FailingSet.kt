package org.parsleymoor.entry

import org.parsleymoor.core.ZoneId

/** A set of availability zones that fails with [fault] when it is searched. */
internal class FailingSet(private val fault: () -> Throwable) : AbstractSet<ZoneId>() {
    override val size: Int get() = 1

    override fun iterator(): Iterator<ZoneId> = throw fault()
}
