package org.parsleymoor.configuration

/**
 * A TOML table whose keys are read one by one. A key that is missing or has an invalid value adds a [ValidationError]
 * and returns a placeholder, so that reading continues and the caller sees every error at the end.
 */
public class TomlSection internal constructor(
    private val reading: TomlReadContext,
    private val path: String,
    private val table: TomlItem.Table,
) {
    private val read = mutableSetOf<String>()

    /** The keys about which a mistake has been added. */
    internal val faulty: MutableSet<String> = mutableSetOf()
    private val children = mutableListOf<TomlSection>()

    /** The line on which the section starts, from 1. */
    public val line: Int get() = table.line

    /** The file that the section belongs to. */
    public val source: String get() = reading.file

    /** The keys that are set, in the order of the file. */
    public val keys: List<String> get() = table.entries.keys.toList()

    /** Reads the table [key], or returns null when it is not set. */
    public fun section(key: String): TomlSection? {
        read += key
        return when (val item = table.entries[key]) {
            null -> if (reading.described == null) null else child("$path$key.", NoTable)
            is TomlItem.Table -> child("$path$key.", item)
            else -> null.also { addError(key, item, "a table") }
        }
    }

    /** Reads the tables `[[key]]`; none is an empty list. */
    public fun sections(key: String): List<TomlSection> {
        read += key
        return when (val item = table.entries[key]) {
            null -> if (reading.described == null) emptyList() else listOf(child("$path$key[].", NoTable))
            is TomlItem.TableArray -> item.tables.map { child("$path$key.", it) }
            else -> emptyList<TomlSection>().also { addError(key, item, "tables headed [[$path$key]]") }
        }
    }

    /** Adds a mistake about [key] that only the caller can see, for example a reference to something not declared. */
    public fun addError(key: String, expected: String, found: String? = null) {
        faulty += key
        val item = itemAt(key)
        val shown = found ?: item?.shown ?: "nothing"
        reading.mistakes += ValidationError(reading.file, item?.line ?: line, "$path$key", shown, expected)
    }

    /** Adds a mistake about [key], or a key below it, unless reading it has already added one. */
    internal fun addErrorUnlessReported(key: String, expected: String, found: String) {
        val below = children.flatMap { child -> child.faulty.map { child.path + it } }
        val known = key in faulty || path + key in below
        if (!known) addError(key, expected, found)
    }

    /** Adds a mistake for every key, here and below, that no caller asked for. */
    internal fun reportUnreadKeys() {
        for ((key, item) in table.entries) {
            if (key !in read) addError(key, item, "one of the keys ${read.sorted().joinToString()}", "an unknown key")
        }
        children.forEach { it.reportUnreadKeys() }
    }

    /** Returns the item at a key or at a dotted key below it. */
    private fun itemAt(key: String): TomlItem? {
        val below = table.entries[key.substringBefore('.')]
        return if (below is TomlItem.Table) below.entries[key.substringAfter('.')] ?: below else below
    }

    private fun child(childPath: String, item: TomlItem.Table): TomlSection {
        val section = TomlSection(reading, childPath, item)
        children += section
        return section
    }

    internal fun <T> value(key: String, default: T?, standIn: T, expected: String, convert: (TomlItem) -> T?): T {
        read += key
        reading.described?.add(KeyDescription("$path$key", expected, default?.let { shownDefault(it) }))
        val item = table.entries[key]
        if (item == null) return default ?: standIn.also { missing(key, expected) }
        val converted = convert(item)
        if (converted == null) addError(key, item, expected)
        return converted ?: standIn
    }

    /** A key may be missing because its line is no TOML, which has been said already. */
    private fun missing(key: String, expected: String) {
        if (reading.isWhole) addError(key, expected) else faulty += key
    }

    private fun addError(key: String, item: TomlItem, expected: String, found: String = item.shown) {
        faulty += key
        reading.mistakes += ValidationError(reading.file, item.line, "$path$key", found, expected)
    }
}

/** Returns whether [key] is set. */
public fun TomlSection.has(key: String): Boolean = key in keys

/** What the sections of one file share; [isWhole] is false when a line of the file is no TOML. */
internal class TomlReadContext(
    val file: String,
    val mistakes: MutableList<ValidationError>,
    val described: MutableList<KeyDescription>? = null,
    val isWhole: Boolean = true,
)

private val NoTable = TomlItem.Table(0, emptyMap())

private fun shownDefault(default: Any): String = when (default) {
    is String -> "\"$default\""
    is Enum<*> -> "\"${default.name.lowercase()}\""
    else -> default.toString()
}
