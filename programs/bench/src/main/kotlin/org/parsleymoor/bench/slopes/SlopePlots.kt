package org.parsleymoor.bench.slopes

import org.knowm.xchart.BitmapEncoder
import org.knowm.xchart.XYChartBuilder
import java.nio.file.Files
import java.nio.file.Path

/** Writes a PNG plot of each slope with its line to [directory], named after the slope. */
internal fun writeSlopePlots(slopes: List<Slope>, directory: Path) {
    Files.createDirectories(directory)
    slopes.forEach { slope ->
        val chart = XYChartBuilder().width(WIDTH).height(HEIGHT).title(slope.name)
            .xAxisTitle(slope.sizeUnit).yAxisTitle(slope.valueUnit).build()
        val sizes = slope.points.map { it.size.toDouble() }
        chart.addSeries("measured", sizes, slope.points.map { it.value })
        chart.addSeries("line", sizes, sizes.map { slope.fit.at(it) })
        BitmapEncoder.saveBitmap(
            chart,
            directory.resolve("${slope.name}.png").toString(),
            BitmapEncoder.BitmapFormat.PNG
        )
    }
}

private const val WIDTH = 640
private const val HEIGHT = 400
