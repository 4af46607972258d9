package org.parsleymoor.relay.zones

import org.parsleymoor.relay.placement.Distance

/**
 * What operators charge for a prompt that is served outside its availability zone, expressed as the wait that this
 * has to save, in milliseconds: [zoneMillis] for another zone of the region, [regionMillis] for another region. The
 * time on the way comes on top. A zone is full when the prompts of its callers take more than [fullShare] of the time
 * of its engines.
 */
public data class SpilloverCosts(
    public val zoneMillis: Double = 20.0,
    public val regionMillis: Double = 60.0,
    public val fullShare: Double = 0.8,
) {
    /** Returns the wait that a request has to save to go as far as [distance], in milliseconds. */
    public fun millis(distance: Distance): Double = when (distance) {
        Distance.SAME_ZONE -> 0.0
        Distance.SAME_REGION -> zoneMillis
        Distance.OTHER_REGION -> regionMillis
    }
}
