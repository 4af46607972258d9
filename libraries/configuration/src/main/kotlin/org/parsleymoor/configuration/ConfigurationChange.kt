package org.parsleymoor.configuration

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.encodeToJsonElement
import kotlinx.serialization.json.jsonObject

/** A difference in one [item] between two configurations. */
@Serializable
public sealed interface ConfigurationChange {
    public val item: ItemReference

    /** The item was added. */
    @Serializable
    @SerialName("added")
    public data class Added(override val item: ItemReference) : ConfigurationChange {
        override fun toString(): String = "+ $item"
    }

    /** The item was removed. */
    @Serializable
    @SerialName("removed")
    public data class Removed(override val item: ItemReference) : ConfigurationChange {
        override fun toString(): String = "- $item"
    }

    /** The values of [fields] changed. */
    @Serializable
    @SerialName("changed")
    public data class Changed(
        override val item: ItemReference,
        public val fields: List<FieldChange>,
    ) : ConfigurationChange {
        override fun toString(): String = "~ $item: ${fields.joinToString()}"
    }
}

/** The value of [key] before and after a change. */
@Serializable
public data class FieldChange(public val key: String, public val before: String, public val after: String) {
    override fun toString(): String = "$key $before -> $after"
}

/** Returns the differences between [before] and [after], ordered by kind and name; revisions are not compared. */
public fun changesBetween(before: Configuration, after: Configuration): List<ConfigurationChange> {
    val old = before.items()
    val new = after.items()
    val removed = (old.keys - new.keys).map { ConfigurationChange.Removed(it) }
    val present = new.mapNotNull { (item, value) -> changeOf(item, old[item], value) }
    return (removed + present).sortedWith(compareBy({ it.item.kind }, { it.item.name }))
}

private fun changeOf(item: ItemReference, old: JsonObject?, new: JsonObject): ConfigurationChange? = when (old) {
    null -> ConfigurationChange.Added(item)
    new -> null
    else -> ConfigurationChange.Changed(item, fieldChanges(old, new))
}

private fun fieldChanges(old: JsonObject, new: JsonObject): List<FieldChange> = new.keys
    .filter { old[it] != new[it] }
    .map { FieldChange(it, displayText(old[it]), displayText(new[it])) }

private fun displayText(value: JsonElement?): String = when {
    value is JsonPrimitive -> value.content.ifEmpty { "\"\"" }
    value is JsonObject -> value.entries.joinToString(",", "{", "}") { "${it.key}=${displayText(it.value)}" }
    else -> value.toString()
}

private val ChangeJson = Json { encodeDefaults = true }

private inline fun <reified T> List<T>.byReference(
    kind: ItemKind,
    name: (T) -> String,
): Map<ItemReference, JsonObject> = associate {
    ItemReference(kind, name(it)) to ChangeJson.encodeToJsonElement(it).jsonObject
}

private fun Configuration.items(): Map<ItemReference, JsonObject> =
    zones.byReference(ItemKind.ZONE) { it.name.value } +
        endpoints.byReference(ItemKind.ENDPOINT) { it.name.value } +
        organisations.byReference(ItemKind.ORGANISATION) { it.name.value } +
        models.byReference(ItemKind.MODEL) { it.name.value } +
        services.byReference(ItemKind.SERVICE) { it.name } +
        rollouts.byReference(ItemKind.ROLLOUT) { it.name } +
        listOf(limits).byReference(ItemKind.LIMITS) { ItemKind.LIMITS.table }
