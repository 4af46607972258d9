package org.parsleymoor.configuration

/** Reads a string; without a [default] the key is required. [expected] describes what [valid] accepts. */
public fun TomlSection.text(
    key: String,
    default: String? = null,
    expected: String = "a string",
    valid: (String) -> Boolean = { true },
): String = value(key, default, "", expected) { item -> (item as? TomlItem.StringValue)?.value?.takeIf(valid) }

/** Reads a whole number within [range]; without a [default] the key is required. */
public fun TomlSection.long(key: String, default: Long? = null, range: LongRange = 0L..Long.MAX_VALUE): Long =
    value(key, default, range.first, "a whole number ${displayText(range)}".trim()) { item ->
        (item as? TomlItem.IntegerValue)?.value?.takeIf { it in range }
    }

/** Reads a whole number within [range], as a 32-bit integer; without a [default] the key is required. */
public fun TomlSection.count(key: String, default: Int? = null, range: IntRange = 0..Int.MAX_VALUE): Int =
    long(key, default?.toLong(), range.first.toLong()..range.last.toLong()).toInt()

/** Reads a number within [range]; without a [default] the key is required. */
public fun TomlSection.number(
    key: String,
    default: Double? = null,
    range: ClosedFloatingPointRange<Double> = 0.0..Double.MAX_VALUE,
): Double = value(key, default, range.start, "a number from ${range.start} to ${range.endInclusive}") { item ->
    numberOf(item)?.takeIf { it in range }
}

/** Reads `true` or `false`; without a [default] the key is required. */
public fun TomlSection.boolean(key: String, default: Boolean? = null): Boolean =
    value(key, default, false, "true or false") { (it as? TomlItem.BooleanValue)?.value }

/** Reads a string that names one of the [choices]; without a [default] the key is required. */
public fun <T> TomlSection.choice(key: String, choices: Map<String, T>, default: T? = null): T {
    val expected = "one of ${choices.keys.joinToString { "\"$it\"" }}"
    return value(key, default, choices.values.first(), expected) { choices[(it as? TomlItem.StringValue)?.value] }
}

/** Reads an array of strings that are all [valid]; without a [default] the key is required. */
public fun TomlSection.texts(
    key: String,
    default: List<String>? = null,
    expected: String = "an array of strings",
    valid: (String) -> Boolean = { true },
): List<String> = value(key, default, emptyList(), expected) { item ->
    val texts = (item as? TomlItem.Array)?.items?.map { (it as? TomlItem.StringValue)?.value }
    texts?.takeIf { list -> list.all { it != null && valid(it) } }?.filterNotNull()
}

/** Reads a table of strings, such as labels; a table that is not set is empty. */
public fun TomlSection.textMap(
    key: String,
    expected: String = "a string",
    valid: (key: String, value: String) -> Boolean = { _, _ -> true },
): Map<String, String> {
    val section = section(key) ?: return emptyMap()
    return section.keys.associateWith { name ->
        section.text(name, expected = expected, valid = { valid(name, it) })
    }
}

private fun numberOf(item: TomlItem): Double? = when (item) {
    is TomlItem.FloatValue -> item.value
    is TomlItem.IntegerValue -> item.value.toDouble()
    else -> null
}

private fun displayText(range: LongRange): String = when {
    range.first <= Int.MIN_VALUE -> ""
    range.last >= Int.MAX_VALUE -> "of at least ${range.first}"
    else -> "from ${range.first} to ${range.last}"
}
