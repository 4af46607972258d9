package org.parsleymoor.configuration

import kotlinx.serialization.Serializable
import org.parsleymoor.core.Failure

/** One mistake in a file. [key] is the dotted path of the key; [line] counts from 1, or is 0 when no line has it. */
@Serializable
public data class ValidationError(
    public val file: String,
    public val line: Int,
    public val key: String,
    public val found: String,
    public val expected: String,
) : Failure {
    override val message: String
        get() = "${place()}: ${if (key.isEmpty()) "" else "$key: "}expected $expected, found $found"

    private fun place(): String = if (line > 0) "$file:$line" else file
}

/** Every mistake of a set of files, in the order of their places; never empty. */
public data class ValidationErrors(public val list: List<ValidationError>) : Failure {
    override val message: String get() = list.joinToString("\n") { it.message }
}
