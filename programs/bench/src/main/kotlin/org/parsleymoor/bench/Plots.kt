package org.parsleymoor.bench

import org.knowm.xchart.BitmapEncoder
import org.knowm.xchart.CategoryChartBuilder
import java.nio.file.Path
import kotlin.io.path.createDirectories

/** Writes one bar chart per measure and workload to [directory]: the median of the seeds for each policy. */
internal fun writePlots(results: List<BenchResult>, directory: Path) {
    directory.createDirectories()
    for ((workload, ofWorkload) in results.groupBy { it.workload }) {
        for ((measure, value) in plottedMeasures) {
            writePlot(ofWorkload, measure, value, directory.resolve("$workload-$measure"))
        }
    }
}

private val plottedMeasures: Map<String, (BenchResult) -> Double> = mapOf(
    "timeToFirstTokenP95Millis" to { it.timeToFirstTokenP95Millis },
    "recomputedShare" to { it.recomputedShare },
    "regionLinkBytes" to { it.regionLinkBytes.toDouble() },
)

private fun writePlot(results: List<BenchResult>, measure: String, value: (BenchResult) -> Double, file: Path) {
    val medians = results.groupBy { it.policy }.mapValues { (_, runs) -> median(runs.map(value)) }
    val chart = CategoryChartBuilder().width(WIDTH).height(HEIGHT).title(measure).yAxisTitle(measure).build()
    chart.styler.isLegendVisible = false
    chart.addSeries(measure, medians.keys.toList(), medians.values.toList())
    BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG)
}

private const val WIDTH = 700
private const val HEIGHT = 450
