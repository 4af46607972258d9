package org.parsleymoor.bench.slopes

import org.parsleymoor.configuration.Configuration
import org.parsleymoor.configuration.ConfigurationRoot
import org.parsleymoor.configuration.ConfigurationSection
import org.parsleymoor.configuration.EndpointDeclaration
import org.parsleymoor.configuration.EndpointKind
import org.parsleymoor.configuration.ModelDeclaration
import org.parsleymoor.configuration.OrganisationDeclaration
import org.parsleymoor.configuration.ZoneDeclaration
import org.parsleymoor.configuration.assembleConfiguration
import org.parsleymoor.configuration.toSections
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.OrganisationId
import org.parsleymoor.core.RegionId
import org.parsleymoor.core.WeightVersion
import org.parsleymoor.core.ZoneId

/** What one change of the configuration costs. [sizeUnit] is what the configuration holds more of. */
internal data class ConfigurationSlopes(
    val totalBytes: Slope,
    val changeBytes: Slope,
    val millisPerChange: Slope,
)

/** Changes one organisation or endpoint of configurations that grow in organisations and in endpoints. */
internal class ConfigurationMeasurement(private val changes: Int) {
    fun byOrganisations(
        sizes: List<Int>
    ): ConfigurationSlopes = measure("organisations", sizes) { configuration(it, 1) }

    fun byEndpoints(sizes: List<Int>): ConfigurationSlopes = measure("endpoints", sizes) { configuration(1, it) }

    private fun measure(unit: String, sizes: List<Int>, make: (Int) -> Configuration): ConfigurationSlopes {
        val runs = sizes.associateWith { run(make(it)) }
        fun slope(name: String, valueUnit: String, value: (Run) -> Double) =
            Slope("$name-by-$unit", unit, valueUnit, runs.map { (size, run) -> SlopePoint(size, value(run)) })
        return ConfigurationSlopes(
            totalBytes = slope("configuration-total", "bytes") { it.totalBytes },
            changeBytes = slope("configuration-change", "bytes per change") { it.changeBytes },
            millisPerChange = slope("configuration-processor", "ms per change") { it.millisPerChange },
        )
    }

    private fun run(configuration: Configuration): Run {
        val sections = configuration.toSections()
        val root = rootOf(sections, revision = 1)
        val changed = change(configuration).toSections()
        val different = changed.filter { one -> sections.none { it.reference == one.reference } }
        val newRoot = rootOf(changed, revision = 2)
        apply(newRoot, changed)
        val nanos = ProcessMeter.threadNanos { repeat(changes) { apply(newRoot, changed) } }
        return Run(
            totalBytes = sections.sumOf { it.text.length } + root.toJson().length.toDouble(),
            changeBytes = different.sumOf { it.text.length } + newRoot.toJson().length.toDouble(),
            millisPerChange = nanos / NANOS_PER_MILLISECOND / changes,
        )
    }

    private fun apply(root: ConfigurationRoot, sections: List<ConfigurationSection>) {
        val texts = sections.associate { it.reference to it.text }
        check(assembleConfiguration(root) { texts[it] }.isOk) { "expected a whole configuration" }
    }

    private fun change(configuration: Configuration): Configuration {
        val organisations = configuration.organisations
        return configuration.copy(
            organisations = listOf(organisations.first().copy(weight = 2)) + organisations.drop(1)
        )
    }

    private fun rootOf(sections: List<ConfigurationSection>, revision: Long) =
        ConfigurationRoot(revision, "write-$revision", sections.map { it.reference })

    private fun configuration(organisations: Int, endpoints: Int) = Configuration(
        zones = List(ZONES) { ZoneDeclaration(ZoneId("zone-$it"), RegionId("region-${it % REGIONS}")) },
        endpoints = List(endpoints) {
            val labels = mapOf("tier" to "live", "fencing" to "checked")
            val zone = ZoneId("zone-${it % ZONES}")
            EndpointDeclaration(EndpointId("engine-$it"), EndpointKind.ENGINE, "10.1.0.1:8000", zone, labels = labels)
        },
        organisations = List(organisations) {
            OrganisationDeclaration(OrganisationId("organisation-$it"), listOf("0".repeat(DIGEST_DIGITS)))
        },
        models = List(MODELS) { ModelDeclaration(ModelId("model-$it"), WeightVersion("1"), "tier=live") },
    )

    private data class Run(val totalBytes: Double, val changeBytes: Double, val millisPerChange: Double)

    private companion object {
        const val ZONES = 29
        const val REGIONS = 8
        const val MODELS = 4
        const val DIGEST_DIGITS = 64
        const val NANOS_PER_MILLISECOND = 1e6
    }
}
