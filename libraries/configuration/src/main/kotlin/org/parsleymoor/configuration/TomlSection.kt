package org.parsleymoor.configuration

/**
 * A table of a TOML file whose keys are read one by one. A key that is missing or has a wrong value adds a [Mistake]
 * and yields a stand-in value, so that reading goes on and the caller sees every mistake at the end.
 */
public class TomlSection internal constructor(
    private val file: String,
    private val path: String,
    private val table: TomlItem.Table,
    private val mistakes: MutableList<Mistake>,
) {
    private val read = mutableSetOf<String>()
    private val children = mutableListOf<TomlSection>()

    /** The line on which the section starts, from 1. */
    public val line: Int get() = table.line

    /** The file that the section belongs to. */
    public val source: String get() = file

    /** The keys that are set, in the order of the file. */
    public val keys: List<String> get() = table.entries.keys.toList()

    /** Returns whether [key] is set. */
    public fun has(key: String): Boolean = key in table.entries

    /** Reads the table [key], or returns null when it is not set. */
    public fun section(key: String): TomlSection? {
        read += key
        return when (val item = table.entries[key]) {
            null -> null
            is TomlItem.Table -> child("$path$key.", item)
            else -> null.also { mistake(key, item, "a table") }
        }
    }

    /** Reads the tables `[[key]]`; none is an empty list. */
    public fun sections(key: String): List<TomlSection> {
        read += key
        return when (val item = table.entries[key]) {
            null -> emptyList()
            is TomlItem.TableArray -> item.tables.map { child("$path$key.", it) }
            else -> emptyList<TomlSection>().also { mistake(key, item, "tables headed [[$path$key]]") }
        }
    }

    /** Adds a mistake about [key] that only the caller can see, for example a reference to something not declared. */
    public fun mistake(key: String, expected: String, found: String? = null) {
        val item = table.entries[key]
        mistakes += Mistake(file, item?.line ?: line, "$path$key", found ?: item?.shown ?: "nothing", expected)
    }

    /** Adds a mistake for every key, here and below, that no caller asked for. */
    internal fun reportUnreadKeys() {
        for ((key, item) in table.entries) {
            if (key !in read) mistake(key, item, "one of the keys ${read.sorted().joinToString()}", "an unknown key")
        }
        children.forEach { it.reportUnreadKeys() }
    }

    private fun child(childPath: String, item: TomlItem.Table): TomlSection {
        val section = TomlSection(file, childPath, item, mistakes)
        children += section
        return section
    }

    internal fun <T> value(key: String, default: T?, standIn: T, expected: String, convert: (TomlItem) -> T?): T {
        read += key
        val item = table.entries[key]
        if (item == null) return default ?: standIn.also { mistake(key, expected) }
        val converted = convert(item)
        if (converted == null) mistake(key, item, expected)
        return converted ?: standIn
    }

    private fun mistake(key: String, item: TomlItem, expected: String, found: String = item.shown) {
        mistakes += Mistake(file, item.line, "$path$key", found, expected)
    }
}
