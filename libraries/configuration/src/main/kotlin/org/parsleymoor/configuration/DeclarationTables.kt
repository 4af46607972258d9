package org.parsleymoor.configuration

import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.OrganisationId
import org.parsleymoor.core.RegionId
import org.parsleymoor.core.WeightVersion
import org.parsleymoor.core.ZoneId

/** The tables of all files of declarations, each item with the section that it was read from. */
internal class DeclarationTables {
    private val zones = mutableListOf<Placed<ZoneDeclaration>>()
    private val endpoints = mutableListOf<Placed<EndpointDeclaration>>()
    private val organisations = mutableListOf<Placed<OrganisationDeclaration>>()
    private val models = mutableListOf<Placed<ModelDeclaration>>()
    private val services = mutableListOf<Placed<ServiceDeclaration>>()
    private val rollouts = mutableListOf<Placed<RolloutDeclaration>>()
    private var limits: Placed<LimitsDeclaration>? = null

    fun read(root: TomlSection) {
        root.sections("zone").mapTo(zones) { Placed(it, zone(it)) }
        root.sections("endpoint").mapTo(endpoints) { Placed(it, endpoint(it)) }
        root.sections("organisation").mapTo(organisations) { Placed(it, organisation(it)) }
        root.sections("model").mapTo(models) { Placed(it, model(it)) }
        root.sections("service").mapTo(services) { Placed(it, service(it)) }
        root.sections("rollout").mapTo(rollouts) { Placed(it, rollout(it)) }
        root.section("limits")?.let { readLimits(root, it) }
    }

    /** Adds the mistakes that only the whole configuration shows, each at the line of its key. */
    fun check() {
        checkConfiguration(configuration()).forEach { mistake ->
            val section = sectionOf(mistake)?.takeUnless { isConsequence(mistake, it) }
            section?.addErrorUnlessReported(mistake.key, mistake.expected, mistake.found)
        }
    }

    /** Whether the mistake only follows from one that has been listed already. */
    private fun isConsequence(mistake: ConfigurationError, section: TomlSection): Boolean = when (mistake.key) {
        "zone" -> zones.any { "name" in it.section.faulty }
        "model" -> models.any { "name" in it.section.faulty }
        "labels.fencing" -> "kind" in section.faulty
        "queueLengthPerOrganisation" -> "queueLength" in section.faulty
        "coldLimit" -> "concurrentPerEngine" in section.faulty
        else -> false
    }

    fun declarations(): Declarations = Declarations(configuration(), declaredStates())

    private fun configuration() = Configuration(
        zones = zones.map { it.item },
        endpoints = endpoints.map { it.item },
        organisations = organisations.map { it.item },
        models = models.map { it.item },
        services = services.map { it.item },
        limits = limits?.item ?: LimitsDeclaration(),
        rollouts = rollouts.map { it.item },
    )

    private fun declaredStates(): Set<ItemReference> {
        val zoneStates = zones.filter { it.section.has("state") }
            .map { ItemReference(ItemKind.ZONE, it.item.name.value) }
        val endpointStates = endpoints.filter { it.section.has("state") }
            .map { ItemReference(ItemKind.ENDPOINT, it.item.name.value) }
        return (zoneStates + endpointStates).toSet()
    }

    private fun sectionOf(mistake: ConfigurationError): TomlSection? {
        val placed = when (mistake.item.kind) {
            ItemKind.ZONE -> zones
            ItemKind.ENDPOINT -> endpoints
            ItemKind.ORGANISATION -> organisations
            ItemKind.MODEL -> models
            ItemKind.SERVICE -> services
            ItemKind.ROLLOUT -> rollouts
            ItemKind.LIMITS -> listOfNotNull(limits)
        }
        return placed.getOrNull(mistake.index)?.section
    }

    private fun readLimits(root: TomlSection, section: TomlSection) {
        val earlier = limits?.section
        if (earlier != null) {
            root.addError("limits", "one [limits] table (it is also in ${earlier.source})", "a second one")
        }
        limits = Placed(section, limits(section))
    }

    private class Placed<T>(val section: TomlSection, val item: T)
}

private val States = PlacementState.entries.associateBy { it.name.lowercase() }
private val Kinds = EndpointKind.entries.associateBy { it.name.lowercase() }
private val AnyCount = Int.MIN_VALUE..Int.MAX_VALUE
private val AnyWhole = Long.MIN_VALUE..Long.MAX_VALUE

private fun zone(section: TomlSection) = ZoneDeclaration(
    name = ZoneId(section.text("name")),
    region = RegionId(section.text("region")),
    state = section.choice("state", States, PlacementState.IN),
    labels = section.textMap("labels"),
)

private fun endpoint(section: TomlSection) = EndpointDeclaration(
    name = EndpointId(section.text("name")),
    kind = section.choice("kind", Kinds),
    address = section.text("address"),
    zone = ZoneId(section.text("zone")),
    state = section.choice("state", States, PlacementState.IN),
    labels = section.textMap("labels"),
)

private fun organisation(section: TomlSection) = OrganisationDeclaration(
    name = OrganisationId(section.text("name")),
    keyDigests = section.texts("keyDigests"),
    weight = section.count("weight", 1, AnyCount),
    priority = section.count("priority", 0, AnyCount),
    labels = section.textMap("labels"),
)

private fun model(section: TomlSection) = ModelDeclaration(
    name = ModelId(section.text("name")),
    version = WeightVersion(section.text("version")),
    selector = section.text("selector", ""),
    labels = section.textMap("labels"),
)

private fun service(section: TomlSection) = ServiceDeclaration(
    name = section.text("name"),
    selector = section.text("selector"),
    repeatable = section.boolean("repeatable", false),
)

private fun rollout(section: TomlSection) = RolloutDeclaration(
    name = section.text("name"),
    model = ModelId(section.text("model")),
    version = WeightVersion(section.text("version")),
    selector = section.text("selector", ""),
    concurrent = section.count("concurrent", 2, AnyCount),
)

private fun limits(section: TomlSection): LimitsDeclaration {
    val default = LimitsDeclaration()
    return LimitsDeclaration(
        queueLength = section.count("queueLength", default.queueLength, AnyCount),
        queueLengthPerOrganisation =
        section.count("queueLengthPerOrganisation", default.queueLengthPerOrganisation, AnyCount),
        concurrentPerEngine = section.count("concurrentPerEngine", default.concurrentPerEngine, AnyCount),
        requestDeadlineMillis = section.long("requestDeadlineMillis", default.requestDeadlineMillis, AnyWhole),
        maximumBodyBytes = section.count("maximumBodyBytes", default.maximumBodyBytes, AnyCount),
        coldLimit = section.count("coldLimit", default.coldLimit, AnyCount),
        coldAnswers = section.count("coldAnswers", default.coldAnswers, AnyCount),
        coldMillis = section.long("coldMillis", default.coldMillis, AnyWhole),
        regionLinkBytesPerSecond =
        section.long("regionLinkBytesPerSecond", default.regionLinkBytesPerSecond, AnyWhole),
        claimRetentionHours = section.count("claimRetentionHours", default.claimRetentionHours, AnyCount),
    )
}
