package org.parsleymoor.relay.placement

import org.parsleymoor.core.RegionId
import org.parsleymoor.core.ZoneId

/** How far apart two availability zones are. */
public enum class Distance { SAME_ZONE, SAME_REGION, OTHER_REGION }

/** Availability zones and their regions, seen from the instance in [zone]. */
public data class Topology(public val zone: ZoneId, public val regions: Map<ZoneId, RegionId>) {
    /** Returns how far [other] is from [from]. */
    public fun distance(other: ZoneId, from: ZoneId = zone): Distance = when {
        other == from -> Distance.SAME_ZONE
        regions[other] != null && regions[other] == regions[from] -> Distance.SAME_REGION
        else -> Distance.OTHER_REGION
    }

    /** Whether [allowed] regions, where any are named, include that of [zone]. */
    public fun isAllowed(zone: ZoneId, allowed: Set<RegionId>): Boolean = allowed.isEmpty() || regions[zone] in allowed
}
