package org.parsleymoor.bench

import org.parsleymoor.placement.PlacementPolicy
import java.util.Locale
import java.util.stream.Collectors
import java.util.stream.LongStream

/** Runs every policy on seeds 1 to [seeds]; seeds run in parallel and do not affect each other. */
internal fun runPolicies(workload: Workload, seeds: Int, zoneOut: Boolean): List<BenchResult> =
    LongStream.rangeClosed(1, seeds.toLong()).parallel().boxed()
        .map { seed -> Bench(workload, seed).let { bench -> policyNames().map { bench.run(it, zoneOut) } } }
        .collect(Collectors.toList()).flatten()

internal fun policyNames(): List<String> = PlacementPolicy.all().map { it.name }

/** Returns the median; of an even number of values the lower of the two middle ones. */
internal fun median(values: List<Double>): Double = values.sorted()[(values.size - 1) / 2]

/** Medians over the seeds as a table, with each policy's ratio to the bounds in the last lines. */
internal fun table(results: List<BenchResult>): String {
    val header = "workload policy            answered  refused   p50 ms   p95 ms   p99 ms " +
        "recomputed   link MB violations"
    val groups = results.groupBy { it.workload to it.policy }.values
    val rows = groups.map { row(it) }
    val bounds = results.groupBy { it.workload }.values.map { boundRow(it) }
    return (listOf(header) + rows + bounds).joinToString("\n")
}

private fun row(results: List<BenchResult>): String {
    val first = results.first()
    return "%-8s %-16s %9.0f %8.0f %8.0f %8.0f %8.0f %10.4f %9.2f %10d".format(
        Locale.ROOT,
        first.workload,
        first.policy,
        median(results.map { it.answered.toDouble() }),
        median(results.map { it.refused.toDouble() }),
        median(results.map { it.timeToFirstTokenP50Millis }),
        median(results.map { it.timeToFirstTokenP95Millis }),
        median(results.map { it.timeToFirstTokenP99Millis }),
        median(results.map { it.recomputedShare }),
        median(results.map { it.regionLinkBytes / BYTES_PER_MEGABYTE }),
        results.sumOf { it.violations },
    )
}

private fun boundRow(results: List<BenchResult>): String = "%-8s %-16s %9s %8s %8s %8.0f %8s %10.4f %9.2f".format(
    Locale.ROOT,
    results.first().workload,
    "bounds",
    "",
    "",
    "",
    median(results.map { it.idleTimeToFirstTokenP95Millis }),
    "",
    median(results.map { it.optimalRecomputedShare }),
    median(results.map { it.minimalRegionLinkBytes / BYTES_PER_MEGABYTE }),
)

private const val BYTES_PER_MEGABYTE = 1_000_000.0
