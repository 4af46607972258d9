package org.parsleymoor.relay.zones

import org.parsleymoor.core.ZoneId
import org.parsleymoor.relay.placement.Topology

/**
 * On which terms one prompt may be served outside its availability zone: at [costs], except in [openZone], to which its
 * zone sends a part of its prompts at present.
 */
public data class SpilloverTerms(public val costs: SpilloverCosts, public val openZone: ZoneId? = null) {
    /** Returns what operators charge for serving the prompt in [zone], in milliseconds of its wait. */
    internal fun millis(zone: ZoneId, topology: Topology): Double =
        if (zone == openZone) 0.0 else costs.millis(topology.distance(zone))

    /** Returns whether engines of [zone] come first for the prompt: those of [openZone], or of its own zone. */
    internal fun comesFirst(zone: ZoneId, topology: Topology): Boolean = zone == (openZone ?: topology.zone)
}
