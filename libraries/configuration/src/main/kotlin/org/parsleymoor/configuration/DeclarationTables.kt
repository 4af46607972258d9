package org.parsleymoor.configuration

import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.OrganisationId
import org.parsleymoor.core.RegionId
import org.parsleymoor.core.WeightVersion
import org.parsleymoor.core.ZoneId

/** Collects the items of all declaration files, each with the TOML table that it was read from. */
internal class DeclarationTables {
    private val zones = mutableListOf<ParsedItem<ZoneDeclaration>>()
    private val endpoints = mutableListOf<ParsedItem<EndpointDeclaration>>()
    private val organisations = mutableListOf<ParsedItem<OrganisationDeclaration>>()
    private val models = mutableListOf<ParsedItem<ModelDeclaration>>()
    private val services = mutableListOf<ParsedItem<ServiceDeclaration>>()
    private val rollouts = mutableListOf<ParsedItem<RolloutDeclaration>>()
    private var limits: ParsedItem<LimitsDeclaration>? = null

    fun read(root: TomlSection) {
        root.sections("zone").mapTo(zones) { ParsedItem(it, zone(it)) }
        root.sections("endpoint").mapTo(endpoints) { ParsedItem(it, endpoint(it)) }
        root.sections("organisation").mapTo(organisations) { ParsedItem(it, organisation(it)) }
        root.sections("model").mapTo(models) { ParsedItem(it, model(it)) }
        root.sections("service").mapTo(services) { ParsedItem(it, service(it)) }
        root.sections("rollout").mapTo(rollouts) { ParsedItem(it, rollout(it)) }
        root.section("limits")?.let { readLimits(root, it) }
    }

    /** Checks the combined configuration and adds each error at the line of its key. */
    fun check() {
        checkConfiguration(configuration()).forEach { problem ->
            val section = sectionOf(problem)?.takeUnless { isConsequence(problem, it) }
            section?.addErrorUnlessReported(problem.key, problem.expected, problem.found)
        }
    }

    /** Whether the error is only a consequence of one that has already been reported. */
    private fun isConsequence(problem: ConfigurationError, section: TomlSection): Boolean = when (problem.key) {
        "zone" -> zones.any { "name" in it.section.invalidKeys }
        "model" -> models.any { "name" in it.section.invalidKeys }
        "labels.fencing" -> "kind" in section.invalidKeys
        "queueLengthPerOrganisation" -> "queueLength" in section.invalidKeys
        "coldLimit" -> "concurrentPerEngine" in section.invalidKeys
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

    private fun sectionOf(problem: ConfigurationError): TomlSection? {
        val parsedItems = when (problem.item.kind) {
            ItemKind.ZONE -> zones
            ItemKind.ENDPOINT -> endpoints
            ItemKind.ORGANISATION -> organisations
            ItemKind.MODEL -> models
            ItemKind.SERVICE -> services
            ItemKind.ROLLOUT -> rollouts
            ItemKind.LIMITS -> listOfNotNull(limits)
        }
        return parsedItems.getOrNull(problem.index)?.section
    }

    private fun readLimits(root: TomlSection, section: TomlSection) {
        val earlier = limits?.section
        if (earlier != null) {
            root.addError("limits", "one [limits] table (it is also in ${earlier.source})", "a second table")
        }
        limits = ParsedItem(section, limits(section))
    }

    private class ParsedItem<T>(val section: TomlSection, val item: T)
}

private val States = PlacementState.entries.associateBy { it.name.lowercase() }
private val Kinds = EndpointKind.entries.associateBy { it.name.lowercase() }
private val AnyCount = Int.MIN_VALUE..Int.MAX_VALUE
private val AnyLong = Long.MIN_VALUE..Long.MAX_VALUE

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
        requestDeadlineMillis = section.long("requestDeadlineMillis", default.requestDeadlineMillis, AnyLong),
        maximumBodyBytes = section.count("maximumBodyBytes", default.maximumBodyBytes, AnyCount),
        coldLimit = section.count("coldLimit", default.coldLimit, AnyCount),
        coldAnswers = section.count("coldAnswers", default.coldAnswers, AnyCount),
        coldMillis = section.long("coldMillis", default.coldMillis, AnyLong),
        regionLinkBytesPerSecond =
        section.long("regionLinkBytesPerSecond", default.regionLinkBytesPerSecond, AnyLong),
        claimRetentionHours = section.count("claimRetentionHours", default.claimRetentionHours, AnyCount),
    )
}
