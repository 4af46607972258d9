package org.parsleymoor.relay.http

/** One header field as it was received. */
public data class HeaderField(public val name: String, public val value: String)

/** The header fields of one message in the order of their arrival; names are compared without regard to case. */
public class HeaderFields(public val fields: List<HeaderField>) {
    /** Returns the first value of [name], or null. */
    public operator fun get(name: String): String? = fields.firstOrNull {
        it.name.equals(
            name,
            ignoreCase = true
        )
    }?.value

    /** Returns all values of [name]. */
    public fun all(name: String): List<String> = fields.filter {
        it.name.equals(
            name,
            ignoreCase = true
        )
    }.map { it.value }

    /** Returns the comma-separated members of all values of [name], trimmed and in lower case. */
    public fun tokens(name: String): List<String> =
        all(name).flatMap { it.split(',') }.map { it.trim().lowercase() }.filter { it.isNotEmpty() }

    /** Returns the fields whose names [keep] accepts. */
    public fun filter(keep: (HeaderField) -> Boolean): HeaderFields = HeaderFields(fields.filter(keep))
}
