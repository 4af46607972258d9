package org.parsleymoor.relay.placement

import org.parsleymoor.core.RegionId
import org.parsleymoor.core.ZoneId

/** How far apart two availability zones are. */
public enum class Distance { SAME_ZONE, SAME_REGION, OTHER_REGION }

/** Maps availability zones to [regions]; [zone] is that of this instance. */
public data class Topology(public val zone: ZoneId, public val regions: Map<ZoneId, RegionId>) {
    /** Returns the distance of [other] from the zone [from]. */
    public fun distance(other: ZoneId, from: ZoneId = zone): Distance = when {
        other == from -> Distance.SAME_ZONE
        regions[other] != null && regions[other] == regions[from] -> Distance.SAME_REGION
        else -> Distance.OTHER_REGION
    }

    /** Returns whether [allowed] contains the region of [zone]; an empty set allows every region. */
    public fun isAllowed(zone: ZoneId, allowed: Set<RegionId>): Boolean = allowed.isEmpty() || regions[zone] in allowed
}
