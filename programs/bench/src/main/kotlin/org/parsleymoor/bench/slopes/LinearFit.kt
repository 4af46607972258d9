package org.parsleymoor.bench.slopes

import kotlin.math.abs

/** The line [intercept] + [slope] * size; [largestError] is the largest residual as a share of the largest value. */
public data class LinearFit(
    public val intercept: Double,
    public val slope: Double,
    public val largestError: Double,
) {
    /** Returns the value of the line at [size]. */
    public fun at(size: Double): Double = intercept + slope * size

    public companion object {
        /** Fits by least squares; throws [IllegalArgumentException] for fewer than two different sizes. */
        public fun through(points: List<SlopePoint>): LinearFit {
            require(points.map { it.size }.distinct().size > 1) { "expected points of two sizes, found $points" }
            val meanSize = points.map { it.size.toDouble() }.average()
            val meanValue = points.map { it.value }.average()
            val spread = points.sumOf { (it.size - meanSize) * (it.size - meanSize) }
            val slope = points.sumOf { (it.size - meanSize) * (it.value - meanValue) } / spread
            val line = LinearFit(meanValue - slope * meanSize, slope, 0.0)
            val largest = points.maxOf { abs(it.value) }
            val error = points.maxOf { abs(it.value - line.at(it.size.toDouble())) }
            return line.copy(largestError = if (largest == 0.0) 0.0 else error / largest)
        }
    }
}
