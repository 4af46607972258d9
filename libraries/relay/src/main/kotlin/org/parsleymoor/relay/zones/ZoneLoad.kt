package org.parsleymoor.relay.zones

import org.parsleymoor.core.ZoneId

/**
 * What the usable engines of a service in [zone] can do, [capacity], and what the callers of the zone ask for,
 * [demand], wherever it is served. Both are in prompt tokens a second.
 */
public data class ZoneLoad(public val zone: ZoneId, public val capacity: Double, public val demand: Double)
