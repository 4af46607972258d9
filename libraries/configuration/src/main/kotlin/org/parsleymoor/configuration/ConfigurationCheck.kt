package org.parsleymoor.configuration

import org.parsleymoor.core.Failure

/** A mistake in a configuration: the [item] at [index] of its list has a wrong value at [key]. */
public data class ConfigurationError(
    public val item: ItemReference,
    public val index: Int,
    public val key: String,
    public val found: String,
    public val expected: String,
) : Failure {
    override val message: String get() = "$item: $key: expected $expected, found $found"
}

/** Returns every mistake of [configuration]; an empty list means that every gateway accepts it. */
public fun checkConfiguration(configuration: Configuration): List<ConfigurationError> {
    val check = ConfigurationCheck()
    checkZones(configuration, check)
    checkEndpoints(configuration, check)
    checkOrganisations(configuration, check)
    checkModels(configuration, check)
    checkServices(configuration, check)
    checkRollouts(configuration, check)
    checkLimits(configuration, check)
    return check.mistakes
}

/** Collects the mistakes of a configuration. */
internal class ConfigurationCheck {
    val mistakes: MutableList<ConfigurationError> = mutableListOf()

    /** Checks each of [items], and that no two have the same name. */
    fun <T> each(kind: ItemKind, items: List<T>, name: (T) -> String, check: ItemCheck.(T) -> Unit) {
        val seen = mutableSetOf<String>()
        items.forEachIndexed { index, item ->
            val itemCheck = ItemCheck(ItemReference(kind, name(item)), index, mistakes)
            itemCheck.name(name(item))
            itemCheck.expect(
                seen.add(name(item)),
                "name",
                "\"${name(item)}\"",
                "a name that no other ${kind.table} has"
            )
            itemCheck.check(item)
        }
    }
}

/** Adds the mistakes of one item. */
internal class ItemCheck(
    private val item: ItemReference,
    private val index: Int,
    private val mistakes: MutableList<ConfigurationError>,
) {
    fun expect(valid: Boolean, key: String, found: String, expected: String) {
        if (!valid) mistakes += ConfigurationError(item, index, key, found, expected)
    }
}
