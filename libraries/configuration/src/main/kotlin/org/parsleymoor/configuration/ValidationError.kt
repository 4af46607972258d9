package org.parsleymoor.configuration

import kotlinx.serialization.Serializable
import org.parsleymoor.core.Failure

/** An error in a file. [key] is a dotted path; [line] starts at 1 and is 0 for an error of the whole file. */
@Serializable
public data class ValidationError(
    public val file: String,
    public val line: Int,
    public val key: String,
    public val found: String,
    public val expected: String,
) : Failure {
    override val message: String
        get() = "${location()}: ${if (key.isEmpty()) "" else "$key: "}expected $expected, found $found"

    private fun location(): String = if (line > 0) "$file:$line" else file
}

/** All errors in a set of files, ordered by file and line; never empty. */
public data class ValidationErrors(public val list: List<ValidationError>) : Failure {
    override val message: String get() = list.joinToString("\n") { it.message }
}
