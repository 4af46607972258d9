package org.parsleymoor.bench.slopes

/** One measured [value] at one [size]. */
public data class SlopePoint(public val size: Int, public val value: Double)

/** A cost measured at several sizes. [name] is stable, so that runs can be compared. */
public data class Slope(
    public val name: String,
    public val sizeUnit: String,
    public val valueUnit: String,
    public val points: List<SlopePoint>,
) {
    /** The least squares line through the points. */
    public val fit: LinearFit get() = LinearFit.through(points)
}
