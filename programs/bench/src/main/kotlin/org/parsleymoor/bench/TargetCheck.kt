package org.parsleymoor.bench

import java.util.Locale

/** One target of section 1.3 of the design, checked on the median of the seeds. [found] is to be at most [limit]. */
internal data class TargetCheck(val name: String, val limit: Double, val found: Double) {
    val holds: Boolean get() = found <= limit

    override fun toString(): String {
        val verdict = if (holds) "holds" else "MISSED"
        return "%-34s %-6s found %12.4f, expected at most %12.4f".format(Locale.ROOT, name, verdict, found, limit)
    }
}

/** Checks the runs of one workload against the best baseline of each measure and against the offline bounds. */
internal fun checkTargets(results: List<BenchResult>): List<TargetCheck> {
    val own = results.filter { it.policy == "parsleymoor" }
    val baselines = results.filter { it.policy != "parsleymoor" }.groupBy { it.policy }.values
    return measures.flatMap { measure ->
        val found = median(own.map(measure.value))
        val best = baselines.minOf { runs -> median(runs.map(measure.value)) }
        val bound = median(own.map(measure.bound))
        val name = "${own.first().workload}.${measure.name}"
        listOf(
            TargetCheck("$name-against-baseline", measure.baselineFactor * best, found),
            TargetCheck("$name-against-bound", measure.boundFactor * bound, found),
        )
    }
}

/** Checks runs with an availability zone out against the same part of [normal] runs. */
internal fun checkZoneOut(normal: List<BenchResult>, zoneOut: List<BenchResult>): List<TargetCheck> {
    val workload = zoneOut.first().workload
    val usual = median(normal.map { it.zoneOutTimeToFirstTokenP95Millis })
    val found = median(zoneOut.map { it.zoneOutTimeToFirstTokenP95Millis })
    return listOf(
        TargetCheck("$workload.zone-out-p95", ZONE_OUT_FACTOR * usual, found),
        TargetCheck("$workload.zone-out-refused", 0.0, zoneOut.maxOf { it.refused }.toDouble()),
        TargetCheck("$workload.zone-out-violations", 0.0, zoneOut.maxOf { it.violations }.toDouble()),
    )
}

private class Measure(
    val name: String,
    val baselineFactor: Double,
    val boundFactor: Double,
    val value: (BenchResult) -> Double,
    val bound: (BenchResult) -> Double,
)

private const val ZONE_OUT_FACTOR = 2.0
private const val P95_OF_BASELINE = 0.5
private const val P95_OF_IDLE = 1.5
private const val RECOMPUTED_OF_BASELINE = 0.4
private const val RECOMPUTED_OF_OPTIMUM = 1.25
private const val LINK_OF_BASELINE = 0.3
private const val LINK_OF_MINIMUM = 1.5

private val measures = listOf(
    Measure(
        "p95",
        P95_OF_BASELINE,
        P95_OF_IDLE,
        { it.timeToFirstTokenP95Millis },
        { it.idleTimeToFirstTokenP95Millis },
    ),
    Measure(
        "recomputed",
        RECOMPUTED_OF_BASELINE,
        RECOMPUTED_OF_OPTIMUM,
        { it.recomputedShare },
        { it.optimalRecomputedShare },
    ),
    Measure(
        "link",
        LINK_OF_BASELINE,
        LINK_OF_MINIMUM,
        { it.regionLinkBytes.toDouble() },
        { it.minimalRegionLinkBytes.toDouble() },
    ),
)
