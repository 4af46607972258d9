package org.parsleymoor.bench.slopes

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo

/** Keeps the state and messages of control within 32 MB and 4 KB a second a daemon, on a short form of the run. */
class SlopeBoundsTest {
    private val megabyte = 1_048_576.0

    @Test
    fun `membership and load view of the planned scale take under a megabyte each`() {
        val membership = MembershipMeasurement(SlopeForm.Short.listedDaemons, 20).measure()
        val loads = LoadViewMeasurement(SlopeForm.Short.replicas, 5).measure()
        expectThat(membership.bytes.fit.at(750.0)).isLessThan(megabyte)
        expectThat(loads.bytes.fit.at(2_600.0)).isLessThan(megabyte)
    }

    @Test
    fun `a gateway keeps connections to eight neighbours at any number of daemons`() {
        val membership = MembershipMeasurement(SlopeForm.Short.listedDaemons, 20).measure()
        expectThat(membership.neighbours.points.maxOf { it.value }).isLessThanOrEqualTo(8.0)
    }

    @Test
    fun `the blocks that a directory keeps at most fit in 32 megabytes`() {
        val directory = DirectoryMeasurement(listOf(10_000, 100_000)).measure()
        expectThat(directory.bytes.points.last().value).isLessThan(32 * megabyte)
    }

    @Test
    fun `configuration changes of the planned scale stay below 4 KB a second`() {
        val slopes = ConfigurationMeasurement(changes = 5).byOrganisations(SlopeForm.Short.organisations)
        val changesPerSecond = 7_300 / 86_400.0
        expectThat(slopes.changeBytes.fit.at(2_400.0) * changesPerSecond).isLessThan(4_096.0)
    }
}
