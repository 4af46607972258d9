package org.parsleymoor.configuration

/** A part of a TOML document with the line it starts on. */
internal sealed interface TomlItem {
    val line: Int

    /** How an error message shows the item. */
    val shown: String

    data class Table(override val line: Int, val entries: Map<String, TomlItem>) : TomlItem {
        override val shown: String get() = "a table"
    }

    data class TableArray(override val line: Int, val tables: List<Table>) : TomlItem {
        override val shown: String get() = "an array of tables"
    }

    data class Text(override val line: Int, val value: String) : TomlItem {
        override val shown: String get() = "\"$value\""
    }

    data class Whole(override val line: Int, val value: Long) : TomlItem {
        override val shown: String get() = value.toString()
    }

    data class Real(override val line: Int, val value: Double) : TomlItem {
        override val shown: String get() = value.toString()
    }

    data class Truth(override val line: Int, val value: Boolean) : TomlItem {
        override val shown: String get() = value.toString()
    }

    data class Array(override val line: Int, val items: List<TomlItem>) : TomlItem {
        override val shown: String get() = items.joinToString(", ", "[", "]") { it.shown }
    }

    /** A value of a kind that no file of this project uses, such as a date. */
    data class Other(override val line: Int, val value: String) : TomlItem {
        override val shown: String get() = value
    }
}
