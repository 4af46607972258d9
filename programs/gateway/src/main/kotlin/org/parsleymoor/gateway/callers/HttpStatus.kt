package org.parsleymoor.gateway.callers

/** The statuses of refusals. */
internal object HttpStatus {
    const val BAD_REQUEST: Int = 400
    const val UNAUTHORIZED: Int = 401
    const val NOT_FOUND: Int = 404
    const val METHOD_NOT_ALLOWED: Int = 405
    const val REQUEST_TIMEOUT: Int = 408
    const val CONTENT_TOO_LARGE: Int = 413
    const val URI_TOO_LONG: Int = 414
    const val UNPROCESSABLE: Int = 422
    const val TOO_MANY_REQUESTS: Int = 429
    const val HEADERS_TOO_LARGE: Int = 431
    const val CLIENT_CLOSED: Int = 499
    const val INTERNAL_ERROR: Int = 500
    const val BAD_GATEWAY: Int = 502
    const val UNAVAILABLE: Int = 503
    const val GATEWAY_TIMEOUT: Int = 504
}
