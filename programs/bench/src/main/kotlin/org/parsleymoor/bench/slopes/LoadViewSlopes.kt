package org.parsleymoor.bench.slopes

import org.parsleymoor.core.EndpointId
import org.parsleymoor.limits.LoadReport
import org.parsleymoor.limits.LoadView

/** What the load view of one gateway keeps and computes at each number of replicas. */
internal data class LoadViewSlopes(val bytes: Slope, val microsecondsPerReport: Slope)

/** Feeds a load view with [rounds] reports of every replica. */
internal class LoadViewMeasurement(private val sizes: List<Int>, private val rounds: Int) {
    fun measure(): LoadViewSlopes {
        val runs = sizes.associateWith { run(it) }
        fun slope(name: String, unit: String, value: (Run) -> Double) =
            Slope(name, "replicas", unit, runs.map { (size, run) -> SlopePoint(size, value(run)) })
        return LoadViewSlopes(
            bytes = slope("load-view-memory", "bytes") { it.bytes },
            microsecondsPerReport = slope("load-report-processor", "us per report") { it.microsecondsPerReport },
        )
    }

    private fun run(replicas: Int): Run {
        val endpoints = List(replicas) { EndpointId("engine-$it") }
        val retained = ProcessMeter.retainedBytes { LoadView().also { report(it, endpoints, 0) } }
        repeat(rounds) { report(retained.result, endpoints, it + 1) }
        val nanos = ProcessMeter.threadNanos {
            repeat(rounds) { report(retained.result, endpoints, rounds + it + 1) }
        }
        return Run(retained.bytes.toDouble(), nanos / NANOS_PER_MICROSECOND / rounds / replicas)
    }

    private fun report(view: LoadView, endpoints: List<EndpointId>, round: Int) {
        val takenMillis = round * REPORT_MILLIS
        endpoints.forEach {
            view.report(LoadReport(it, 1, false, round % RUNNING, QUEUED_TOKENS, takenMillis))
        }
    }

    private data class Run(val bytes: Double, val microsecondsPerReport: Double)

    private companion object {
        const val REPORT_MILLIS = 250L
        const val RUNNING = 16
        const val QUEUED_TOKENS = 4_000L
        const val NANOS_PER_MICROSECOND = 1_000.0
    }
}
