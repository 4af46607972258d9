package org.parsleymoor.configuration

import com.github.michaelbull.result.getError
import org.parsleymoor.core.Selector

private val Name = Regex("[a-z][a-z0-9-]{0,62}")
private val Version = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
private val LabelName = Regex("[a-z][a-z0-9./-]{0,62}")
private val LabelValue = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
private val KeyDigest = Regex("[0-9a-f]{64}")
private val NumericAddress = Regex("""((\d{1,3})(\.\d{1,3}){3}|\[[0-9a-fA-F:]+])""")
private const val MAX_PORT = 65_535
private const val MAX_OCTET = 255

internal fun ItemCheck.name(value: String, key: String = "name") {
    val expected = "a lower-case letter followed by at most 62 lower-case letters, digits or hyphens"
    expect(Name.matches(value), key, "\"$value\"", expected)
}

internal fun ItemCheck.version(value: String, key: String = "version") {
    expect(Version.matches(value), key, "\"$value\"", "1 to 63 letters, digits, dots, underscores or hyphens")
}

internal fun ItemCheck.labels(labels: Map<String, String>) {
    for ((label, value) in labels) {
        val key = "labels.$label"
        expect(LabelName.matches(label), key, "the label name \"$label\"", "a label name such as tier or team/role")
        expect(LabelValue.matches(value), key, "\"$value\"", "1 to 63 letters, digits, dots, underscores or hyphens")
        val reserved = ReservedLabels.joinToString()
        expect(
            label !in ReservedLabels,
            key,
            "the label name \"$label\"",
            "a label other than $reserved (reserved)"
        )
    }
}

internal fun ItemCheck.selector(text: String) {
    val failure = Selector.parse(text).getError()
    val term = failure?.term.orEmpty()
    expect(failure == null, "selector", "\"$term\"", "terms like region=north or tier!=test, joined by commas")
}

internal fun ItemCheck.address(value: String) {
    val host = value.substringBeforeLast(':')
    val port = value.substringAfterLast(':', "").toIntOrNull()
    val octets = host.split('.').mapNotNull { it.toIntOrNull() }
    val valid = NumericAddress.matches(host) && port in 1..MAX_PORT && octets.all { it <= MAX_OCTET }
    expect(valid, "address", "\"$value\"", "a numeric IP address and a port from 1 to 65535, such as 10.0.0.1:8080")
}

internal fun ItemCheck.keyDigest(value: String) {
    val expected = "the SHA-256 digest of a key as 64 lower-case hexadecimal digits"
    expect(KeyDigest.matches(value), "keyDigests", "\"$value\"", expected)
}

internal fun ItemCheck.range(key: String, value: Long, range: LongRange) {
    expect(value in range, key, value.toString(), "a whole number from ${range.first} to ${range.last}")
}
