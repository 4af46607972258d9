package org.parsleymoor.configuration

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.encodeToJsonElement
import kotlinx.serialization.json.jsonObject

/** A difference between two configurations in one [item]. */
@Serializable
public sealed interface ConfigurationChange {
    /** The item that differs. */
    public val item: ItemReference

    /** The item is new. */
    @Serializable
    @SerialName("added")
    public data class Added(override val item: ItemReference) : ConfigurationChange {
        override fun toString(): String = "+ $item"
    }

    /** The item is gone. */
    @Serializable
    @SerialName("removed")
    public data class Removed(override val item: ItemReference) : ConfigurationChange {
        override fun toString(): String = "- $item"
    }

    /** Some [fields] of the item have other values. */
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

/** Returns how [after] differs from [before], in the order of kinds and names; revisions are not compared. */
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
    .map { FieldChange(it, shown(old[it]), shown(new[it])) }

private fun shown(value: JsonElement?): String = when {
    value is JsonPrimitive -> value.content.ifEmpty { "\"\"" }
    value is JsonObject -> value.entries.joinToString(",", "{", "}") { "${it.key}=${shown(it.value)}" }
    else -> value.toString()
}

private val Values = Json { encodeDefaults = true }

private inline fun <reified T> List<T>.byReference(
    kind: ItemKind,
    name: (T) -> String,
): Map<ItemReference, JsonObject> = associate {
    ItemReference(kind, name(it)) to Values.encodeToJsonElement(it).jsonObject
}

private fun Configuration.items(): Map<ItemReference, JsonObject> =
    zones.byReference(ItemKind.ZONE) { it.name.value } +
        endpoints.byReference(ItemKind.ENDPOINT) { it.name.value } +
        organisations.byReference(ItemKind.ORGANISATION) { it.name.value } +
        models.byReference(ItemKind.MODEL) { it.name.value } +
        services.byReference(ItemKind.SERVICE) { it.name } +
        rollouts.byReference(ItemKind.ROLLOUT) { it.name } +
        listOf(limits).byReference(ItemKind.LIMITS) { ItemKind.LIMITS.table }
