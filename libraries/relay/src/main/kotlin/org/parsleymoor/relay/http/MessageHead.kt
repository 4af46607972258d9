package org.parsleymoor.relay.http

/** The head of a request; [target] is preserved byte for byte. */
public data class RequestHead(
    public val method: String,
    public val target: String,
    public val headers: HeaderFields,
    public val minorVersion: Int = 1,
) {
    /** Whether the sender keeps the connection open after the response (RFC 9112, 9.3). */
    public val keepsAlive: Boolean get() = keepsAlive(headers, minorVersion)
}

/** The head of a response. */
public data class ResponseHead(
    public val status: Int,
    public val reason: String,
    public val headers: HeaderFields,
    public val minorVersion: Int = 1,
) {
    /** Whether the sender keeps the connection open after the body (RFC 9112, 9.3). */
    public val keepsAlive: Boolean get() = keepsAlive(headers, minorVersion)

    /** Whether this is an interim (1xx) response, which is followed by another response. */
    public val isInterim: Boolean get() = status in INTERIM

    private companion object {
        val INTERIM = 100..199
    }
}

/** How the end of a body is determined. */
public sealed interface BodyFraming {
    /** There is no body. */
    public data object None : BodyFraming

    /** The body has [bytes] bytes. */
    public data class Length(public val bytes: Long) : BodyFraming

    /** The body is sent in chunks and ends with an empty chunk. */
    public data object Chunked : BodyFraming

    /** The body ends when the connection is closed. */
    public data object UntilClose : BodyFraming
}

private fun keepsAlive(headers: HeaderFields, minorVersion: Int): Boolean {
    val options = headers.tokens("Connection")
    return if (minorVersion == 0) "keep-alive" in options else "close" !in options
}
