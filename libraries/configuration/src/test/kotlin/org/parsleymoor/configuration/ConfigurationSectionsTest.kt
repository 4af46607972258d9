package org.parsleymoor.configuration

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.junit.jupiter.api.Test
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.OrganisationId
import org.parsleymoor.core.RegionId
import org.parsleymoor.core.ZoneId
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

class ConfigurationSectionsTest {
    private val configuration = Configuration(
        revision = 4,
        zones = listOf("b", "a").map { ZoneDeclaration(ZoneId(it), RegionId("north")) },
        endpoints = (1..2_600).map { endpoint("engine-$it", "zone-${it % 29}") },
        organisations = (1..2_400).map { OrganisationDeclaration(OrganisationId("org-$it"), listOf("ab".repeat(32))) },
    )

    @Test
    fun `a configuration read back from its sections is the same in sorted order`() {
        expectThat(readBack(configuration).get()).isEqualTo(configuration.sorted())
    }

    @Test
    fun `a change of one endpoint rewrites one section of less than 100 kB`() {
        val first = configuration.endpoints.first()
        val changed = configuration.copy(
            endpoints = listOf(first.copy(state = PlacementState.OUT)) + configuration.endpoints.drop(1),
        )
        val rewritten = changed.toSections().toSet() - configuration.toSections().toSet()
        expectThat(rewritten).hasSize(1)
        expectThat(rewritten.single().text.length).isLessThan(100_000)
    }

    @Test
    fun `a section whose hash differs or whose text is missing is refused`() {
        val root = root(configuration)
        val altered = assembleConfiguration(root) { "{}" }.getError()
        expectThat(altered).isA<SectionFailure.HashMismatch>()
        val missing = assembleConfiguration(root) { null }.getError()
        expectThat(missing).isA<SectionFailure.Missing>()
    }

    private fun readBack(configuration: Configuration) = assembleConfiguration(root(configuration)) { reference ->
        configuration.toSections().firstOrNull { it.reference == reference }?.text
    }

    private fun root(configuration: Configuration) =
        ConfigurationRoot(configuration.revision, "w", configuration.toSections().map { it.reference })

    private fun endpoint(name: String, zone: String) =
        EndpointDeclaration(EndpointId(name), EndpointKind.ENGINE, "10.0.0.1:80", ZoneId(zone))
}
