package org.parsleymoor.entry.control

import org.parsleymoor.core.InstanceId

/**
 * Returns those of [addresses] that [self] keeps connections to: all of them in a small deployment. In a larger one
 * each instance keeps to the next in the order of names, which joins all of them with a bounded number of connections.
 */
internal fun neighbours(self: InstanceId, addresses: Map<InstanceId, String>): Map<InstanceId, String> {
    if (addresses.size <= FULL_MESH_INSTANCES) return addresses
    val ring = addresses.keys.sortedBy { it.value }
    val own = ring.indexOf(self).coerceAtLeast(0)
    return (1..RING_NEIGHBOURS).map { ring[(own + it) % ring.size] }.associateWith { addresses.getValue(it) }
}

// Messages grow with the square of the instances; up to here they cost each instance about a hundredth of a core.
private const val FULL_MESH_INSTANCES = 24
private const val RING_NEIGHBOURS = 6
