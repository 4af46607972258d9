package org.parsleymoor.configuration

/**
 * A TOML table whose keys are read one by one. A key that is missing or has an invalid value adds a [ValidationError]
 * and returns a placeholder, so that reading continues and the caller sees every error at the end.
 */
public class TomlSection internal constructor(
    private val context: TomlReadContext,
    private val path: String,
    private val table: TomlItem.Table,
) {
    private val used = mutableSetOf<String>()

    /** The keys for which an error has been added. */
    internal val invalidKeys: MutableSet<String> = mutableSetOf()
    private val children = mutableListOf<TomlSection>()

    /** The line on which the table starts, counted from 1. */
    public val line: Int get() = table.line

    /** The file that contains the table. */
    public val source: String get() = context.file

    /** The keys that are set, in file order. */
    public val keys: List<String> get() = table.entries.keys.toList()

    /** Reads the table [key]; null if it is not set. */
    public fun section(key: String): TomlSection? {
        used += key
        return when (val item = table.entries[key]) {
            null -> if (context.descriptions == null) null else child("$path$key.", EmptyTable)
            is TomlItem.Table -> child("$path$key.", item)
            else -> null.also { addError(key, item, "a table") }
        }
    }

    /** Reads the array of tables `[[key]]`; empty if it is not set. */
    public fun sections(key: String): List<TomlSection> {
        used += key
        return when (val item = table.entries[key]) {
            null -> if (context.descriptions == null) emptyList() else listOf(child("$path$key[].", EmptyTable))
            is TomlItem.TableArray -> item.tables.map { child("$path$key.", it) }
            else -> emptyList<TomlSection>().also { addError(key, item, "tables headed [[$path$key]]") }
        }
    }

    /** Adds an error about [key] that only the caller can detect, such as a reference to an undeclared item. */
    public fun addError(key: String, expected: String, found: String? = null) {
        invalidKeys += key
        val item = itemAt(key)
        val displayText = found ?: item?.displayText ?: "nothing"
        context.errors += ValidationError(context.file, item?.line ?: line, "$path$key", displayText, expected)
    }

    /** Adds an error about [key] unless there already is one, here or in a nested table. */
    internal fun addErrorUnlessReported(key: String, expected: String, found: String) {
        val invalidChildKeys = children.flatMap { child -> child.invalidKeys.map { child.path + it } }
        val alreadyReported = key in invalidKeys || path + key in invalidChildKeys
        if (!alreadyReported) addError(key, expected, found)
    }

    /** Adds an error for every key, including those of nested tables, that was not used. */
    internal fun reportUnusedKeys() {
        for ((key, item) in table.entries) {
            if (key !in used) addError(key, item, "one of the keys ${used.sorted().joinToString()}", "an unknown key")
        }
        children.forEach { it.reportUnusedKeys() }
    }

    /** Returns the item at [key], which may be a dotted key into a nested table. */
    private fun itemAt(key: String): TomlItem? {
        val item = table.entries[key.substringBefore('.')]
        return if (item is TomlItem.Table) item.entries[key.substringAfter('.')] ?: item else item
    }

    private fun child(childPath: String, item: TomlItem.Table): TomlSection {
        val section = TomlSection(context, childPath, item)
        children += section
        return section
    }

    internal fun <T> value(key: String, default: T?, placeholder: T, expected: String, convert: (TomlItem) -> T?): T {
        used += key
        context.descriptions?.add(KeyDescription("$path$key", expected, default?.let { defaultAsToml(it) }))
        val item = table.entries[key]
        if (item == null) return default ?: placeholder.also { reportMissing(key, expected) }
        val converted = convert(item)
        if (converted == null) addError(key, item, expected)
        return converted ?: placeholder
    }

    /** After a syntax error the key may be on an invalid line, which has already been reported. */
    private fun reportMissing(key: String, expected: String) {
        if (context.isSyntaxValid) addError(key, expected) else invalidKeys += key
    }

    private fun addError(key: String, item: TomlItem, expected: String, found: String = item.displayText) {
        invalidKeys += key
        context.errors += ValidationError(context.file, item.line, "$path$key", found, expected)
    }
}

public fun TomlSection.has(key: String): Boolean = key in keys

/** State shared by all tables of a file. [descriptions] is set when keys are described instead of read. */
internal class TomlReadContext(
    val file: String,
    val errors: MutableList<ValidationError>,
    val descriptions: MutableList<KeyDescription>? = null,
    val isSyntaxValid: Boolean = true,
)

private val EmptyTable = TomlItem.Table(0, emptyMap())

private fun defaultAsToml(default: Any): String = when (default) {
    is String -> "\"$default\""
    is Enum<*> -> "\"${default.name.lowercase()}\""
    else -> default.toString()
}
