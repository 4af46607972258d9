package org.parsleymoor.clients

/** Statuses of the platform's answers. */
internal object PlatformStatusCode {
    const val OK: Int = 200
    const val NO_CONTENT: Int = 204
    const val NOT_FOUND: Int = 404
    const val CONFLICT: Int = 409
    const val TOO_MANY: Int = 429
    const val SERVER_ERROR: Int = 500
}
