package org.parsleymoor.trials

import kotlinx.serialization.Serializable

/** The figures of one run of `bin/load`; `docs/measurements.md` explains them. */
@Serializable
internal data class LoadReport(
    val seed: Long = 0,
    val seconds: Int,
    val concurrency: Int,
    val cores: Int = 0,
    val loadAverage: Double = 0.0,
    val requests: Long,
    val wrongAnswers: Int,
    val directRequestsPerSecond: Long,
    val gatewayRequestsPerSecond: Long,
    val pacedRequestsPerSecond: Int,
    val directP50Micros: Long,
    val directP99Micros: Long,
    val addedP50Micros: Long,
    val addedP99Micros: Long,
    val idleMegabytes: Long,
    val loadedMegabytes: Long,
    val processorMicrosPerRequest: Long,
    val missedBounds: List<String> = emptyList(),
)

/** The regression bounds of one gateway; `docs/measurements.md` derives each from the planned scale. */
internal object LoadBounds {
    /** Ten times the share of one of 750 gateways in 15,000 requests a second. */
    const val REQUESTS_PER_SECOND = 200

    /** The bounds that [report] misses, one line each with the figure and the bound. */
    fun missed(report: LoadReport): List<String> = listOfNotNull(
        atLeast("gatewayRequestsPerSecond", report.gatewayRequestsPerSecond, REQUESTS_PER_SECOND.toLong()),
        atMost("addedP50Micros", report.addedP50Micros, ADDED_P50_MICROS),
        atMost("addedP99Micros", report.addedP99Micros, ADDED_P99_MICROS),
        atMost("loadedMegabytes", report.loadedMegabytes, LOADED_MEGABYTES),
        atMost("processorMicrosPerRequest", report.processorMicrosPerRequest, PROCESSOR_MICROS),
    )

    private fun atLeast(name: String, found: Long, bound: Long): String? =
        if (found >= bound) null else "expected $name of at least $bound, found $found"

    private fun atMost(name: String, found: Long, bound: Long): String? =
        if (found <= bound) null else "expected $name of at most $bound, found $found"

    // One hundredth of the 0.38 s to the first token.
    private const val ADDED_P50_MICROS = 3_800L

    // The 29 ms between two tokens.
    private const val ADDED_P99_MICROS = 29_000L

    // Three quarters of the 1 GB of a small instance.
    private const val LOADED_MEGABYTES = 768L

    // One core carries ten times the share of a gateway.
    private const val PROCESSOR_MICROS = 5_000L
}
