package org.parsleymoor.relay.limits

import org.parsleymoor.core.InstanceId

/** What an instance may use of a limit that holds for all instances together. */
public sealed interface InstancePart {
    /** Nothing, because the other instances are not known. */
    public data object Nothing : InstancePart

    /** An equal part of what is kept for instances that the others may not count; [instances] include this one. */
    public data class OfReserve(public val instances: Set<InstanceId>) : InstancePart

    /** An equal part of what the [instances], which include this one, divide among themselves. */
    public data class OfLimit(public val instances: Set<InstanceId>) : InstancePart
}
