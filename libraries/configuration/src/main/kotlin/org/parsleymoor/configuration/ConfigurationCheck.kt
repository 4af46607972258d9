package org.parsleymoor.configuration

import org.parsleymoor.core.Failure

/** An error in a configuration: the [item] at [index] of its list has an invalid value at [key]. */
public data class ConfigurationError(
    public val item: ItemReference,
    public val index: Int,
    public val key: String,
    public val found: String,
    public val expected: String,
) : Failure {
    override val message: String get() = "$item: $key: expected $expected, found $found"
}

/** Returns all errors in [configuration]; gateways accept it if there are none. */
public fun checkConfiguration(configuration: Configuration): List<ConfigurationError> {
    val check = ConfigurationCheck()
    checkZones(configuration, check)
    checkEndpoints(configuration, check)
    checkOrganisations(configuration, check)
    checkModels(configuration, check)
    checkServices(configuration, check)
    checkRollouts(configuration, check)
    checkLimits(configuration, check)
    return check.errors
}

/** Collects the errors of a configuration. */
internal class ConfigurationCheck {
    val errors: MutableList<ConfigurationError> = mutableListOf()

    /** Runs [check] on each of [items] and checks that their names are valid and unique. */
    fun <T> each(kind: ItemKind, items: List<T>, name: (T) -> String, check: ItemCheck.(T) -> Unit) {
        val seen = mutableSetOf<String>()
        items.forEachIndexed { index, item ->
            val itemCheck = ItemCheck(ItemReference(kind, name(item)), index, errors)
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

/** Adds the errors of one item. */
internal class ItemCheck(
    private val item: ItemReference,
    private val index: Int,
    private val errors: MutableList<ConfigurationError>,
) {
    fun expect(valid: Boolean, key: String, found: String, expected: String) {
        if (!valid) errors += ConfigurationError(item, index, key, found, expected)
    }
}
