package org.parsleymoor.operator

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.encodeToJsonElement
import kotlinx.serialization.json.jsonObject
import org.parsleymoor.configuration.Configuration
import org.parsleymoor.configuration.EndpointDeclaration
import org.parsleymoor.configuration.effectiveStateOf
import org.parsleymoor.configuration.labelsOf
import org.parsleymoor.core.Labels

/** The kinds that `get` lists, with their columns; [rows] reads them from the configuration. */
internal enum class ItemTable(val columns: List<String>, val rows: (StoredConfiguration) -> List<ItemRow>) {
    ZONES(listOf("name", "region", "state", "labels"), { stored ->
        stored.configuration.zones.map {
            val cells = listOf(it.name.value, it.region.value, it.state.shown, shown(it.labels))
            ItemRow(cells, Labels.of(it.labels).with("region", it.region.value).with("state", it.state.shown))
        }
    }),
    ENDPOINTS(listOf("name", "kind", "address", "zone", "region", "state", "labels"), { stored ->
        stored.configuration.endpoints.map { endpointRow(stored.configuration, it) }
    }),
    ORGANISATIONS(listOf("name", "keys", "weight", "priority", "labels"), { stored ->
        stored.configuration.organisations.map {
            val numbers = listOf(it.keyDigests.size, it.weight, it.priority).map { number -> number.toString() }
            ItemRow(listOf(it.name.value) + numbers + shown(it.labels), Labels.of(it.labels))
        }
    }),
    MODELS(listOf("name", "version", "selector", "labels"), { stored ->
        stored.configuration.models.map {
            val cells = listOf(it.name.value, it.version.value, it.selector.ifEmpty { "(all)" }, shown(it.labels))
            ItemRow(cells, Labels.of(it.labels))
        }
    }),
    SERVICES(listOf("name", "selector", "repeatable"), { stored ->
        stored.configuration.services.map { ItemRow(listOf(it.name, it.selector, it.repeatable.toString())) }
    }),
    ROLLOUTS(listOf("name", "model", "version", "selector", "concurrent"), { stored ->
        stored.configuration.rollouts.map {
            val target = listOf(it.name, it.model.value, it.version.value)
            ItemRow(target + it.selector.ifEmpty { "(all)" } + it.concurrent.toString())
        }
    }),
    LIMITS(listOf("name", "value"), { stored ->
        val limits: JsonObject = OutputJson.encodeToJsonElement(stored.configuration.limits).jsonObject
        limits.map { (name, value) -> ItemRow(listOf(name, value.toString())) }
    }),
    CHANGES(listOf("revision", "author", "change", "time"), { stored ->
        stored.root.recent.map {
            ItemRow(listOf(it.revision.toString(), it.author, it.change, shownTime(it.atMillis)))
        }
    }),
    ;

    /** The name of the table on the command line. */
    val shown: String get() = name.lowercase()

    /** The name of one item of the table on the command line. */
    val single: String get() = shown.removeSuffix("s")
}

private fun endpointRow(configuration: Configuration, endpoint: EndpointDeclaration): ItemRow {
    val zone = endpoint.zone.value
    val place = listOf(zone, configuration.regionOf(zone), configuration.effectiveStateOf(endpoint).shown)
    val cells = listOf(endpoint.name.value, endpoint.kind.name.lowercase(), endpoint.address) + place
    return ItemRow(cells + shown(endpoint.labels), configuration.labelsOf(endpoint))
}

private fun shown(labels: Map<String, String>): String = Labels.of(labels).toString()
