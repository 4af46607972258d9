package org.parsleymoor.bench

import kotlinx.serialization.Serializable

/** One line of output: the measures of a run and the bounds of its requests. */
@Serializable
public data class BenchResult(
    public val workload: String,
    public val policy: String,
    public val seed: Long,
    public val requests: Int,
    public val answered: Int,
    public val refused: Int,
    public val timeToFirstTokenP50Millis: Double,
    public val timeToFirstTokenP95Millis: Double,
    public val timeToFirstTokenP99Millis: Double,
    public val recomputedShare: Double,
    public val computedAgainShare: Double,
    public val regionLinkBytes: Long,
    public val violations: Int,
    public val idleTimeToFirstTokenP95Millis: Double,
    public val optimalRecomputedShare: Double,
    public val minimalRegionLinkBytes: Long,
    public val zoneOutTimeToFirstTokenP95Millis: Double,
)
