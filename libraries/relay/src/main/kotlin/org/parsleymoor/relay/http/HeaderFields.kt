package org.parsleymoor.relay.http

/** A header field as received. */
public data class HeaderField(public val name: String, public val value: String)

/** The header fields of a message in the order in which they were received; names are case-insensitive. */
public class HeaderFields(public val fields: List<HeaderField>) {
    /** Returns the value of the first field named [name], or null. */
    public operator fun get(name: String): String? = fields.firstOrNull {
        it.name.equals(
            name,
            ignoreCase = true
        )
    }?.value

    /** Returns the values of all fields named [name]. */
    public fun all(name: String): List<String> = fields.filter {
        it.name.equals(
            name,
            ignoreCase = true
        )
    }.map { it.value }

    /** Returns the elements of all comma-separated lists in fields named [name], trimmed and in lower case. */
    public fun tokens(name: String): List<String> =
        all(name).flatMap { it.split(',') }.map { it.trim().lowercase() }.filter { it.isNotEmpty() }

    /** Returns the fields that satisfy [keep]. */
    public fun filter(keep: (HeaderField) -> Boolean): HeaderFields = HeaderFields(fields.filter(keep))
}
