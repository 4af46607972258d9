package org.parsleymoor.clients

/** HTTP status codes of the platform's responses. */
internal object PlatformStatusCode {
    const val OK: Int = 200
    const val NO_CONTENT: Int = 204
    const val NOT_FOUND: Int = 404
    const val CONFLICT: Int = 409
    const val TOO_MANY_REQUESTS: Int = 429
    const val INTERNAL_SERVER_ERROR: Int = 500
}
