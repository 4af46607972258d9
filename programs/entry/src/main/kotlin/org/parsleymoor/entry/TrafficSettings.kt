package org.parsleymoor.entry

import org.parsleymoor.configuration.TomlSection
import org.parsleymoor.configuration.number
import org.parsleymoor.relay.release.ExposureLimit
import org.parsleymoor.relay.zones.SpilloverCosts

/** Reads the bounds on the traffic of new releases. */
internal fun exposure(section: TomlSection): ExposureLimit = ExposureLimit(
    share = section.number("share"),
    extra = section.number("extra"),
    rollbackMillis = section.number("rollbackMillis").toLong(),
)

/** Reads what operators charge for prompts served outside their availability zone. */
internal fun spillover(section: TomlSection): SpilloverCosts {
    val default = SpilloverCosts()
    return SpilloverCosts(
        zoneMillis = section.number("zoneMillis", default = default.zoneMillis),
        regionMillis = section.number("regionMillis", default = default.regionMillis),
        fullShare = section.number("fullShare", default = default.fullShare, range = LEAST_FULL_SHARE..1.0),
    )
}

private const val LEAST_FULL_SHARE = 0.1
