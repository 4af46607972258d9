package org.parsleymoor.configuration

/** An element of a TOML document and the line on which it starts. */
internal sealed interface TomlItem {
    val line: Int

    /** The form of the item in error messages. */
    val displayText: String

    data class Table(override val line: Int, val entries: Map<String, TomlItem>) : TomlItem {
        override val displayText: String get() = "a table"
    }

    data class TableArray(override val line: Int, val tables: List<Table>) : TomlItem {
        override val displayText: String get() = "an array of tables"
    }

    data class StringValue(override val line: Int, val value: String) : TomlItem {
        override val displayText: String get() = "\"$value\""
    }

    data class IntegerValue(override val line: Int, val value: Long) : TomlItem {
        override val displayText: String get() = value.toString()
    }

    data class FloatValue(override val line: Int, val value: Double) : TomlItem {
        override val displayText: String get() = value.toString()
    }

    data class BooleanValue(override val line: Int, val value: Boolean) : TomlItem {
        override val displayText: String get() = value.toString()
    }

    data class Array(override val line: Int, val items: List<TomlItem>) : TomlItem {
        override val displayText: String get() = items.joinToString(", ", "[", "]") { it.displayText }
    }

    /** A value of a type that no setting or declaration uses, such as a date. */
    data class OtherValue(override val line: Int, val value: String) : TomlItem {
        override val displayText: String get() = value
    }
}
