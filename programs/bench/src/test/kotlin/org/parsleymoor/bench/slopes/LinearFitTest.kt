package org.parsleymoor.bench.slopes

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

class LinearFitTest {
    @Test
    fun `points on a line are fitted without error`() {
        val fit = LinearFit.through(listOf(SlopePoint(2, 7.0), SlopePoint(4, 11.0), SlopePoint(8, 19.0)))
        expectThat(fit.at(750.0)).isEqualTo(3 + 2 * 750.0, tolerance = 1e-9)
        expectThat(fit.largestError).isLessThan(1e-12)
    }

    @Test
    fun `a curve shows as an error of the fit`() {
        val fit = LinearFit.through(listOf(SlopePoint(1, 1.0), SlopePoint(10, 100.0), SlopePoint(20, 400.0)))
        expectThat(fit.largestError).isGreaterThan(0.05)
    }

    @Test
    fun `one size cannot be fitted`() {
        assertThrows<IllegalArgumentException> { LinearFit.through(listOf(SlopePoint(1, 1.0), SlopePoint(1, 2.0))) }
    }
}
