package org.parsleymoor.bench.slopes

import java.util.Locale

/** Returns a Markdown table with a row for each slope: its values, its line, the error of the line. */
internal fun slopeTable(slopes: List<Slope>): String {
    val header = listOf(
        "| slope | unit | measured (size: value) | line | largest error |",
        "|---|---|---|---|---|",
    )
    return (header + slopes.map { row(it) }).joinToString("\n")
}

private fun row(slope: Slope): String {
    val values = slope.points.joinToString("; ") { "${it.size}: ${number(it.value)}" }
    val fit = slope.fit
    val line = "${number(fit.intercept)} + ${number(fit.slope)} x ${slope.sizeUnit}"
    return "| `${slope.name}` | ${slope.valueUnit} | $values | $line | ${number(fit.largestError * PERCENT)}% |"
}

private fun number(value: Double): String = String.format(Locale.ROOT, "%.3g", value)

/** Returns [page] with the text between the markers of [name] replaced by [content]. */
internal fun replaceGenerated(page: String, name: String, content: String): String {
    val begin = "<!-- generated: $name -->"
    val end = "<!-- end: $name -->"
    require(begin in page && end in page) { "expected the markers $begin and $end in the page" }
    return page.substringBefore(begin) + "$begin\n$content\n$end" + page.substringAfter(end)
}

private const val PERCENT = 100
