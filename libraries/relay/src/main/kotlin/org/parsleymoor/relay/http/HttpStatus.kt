package org.parsleymoor.relay.http

/** The response statuses that this system sends or treats specially (RFC 9110, RFC 6585). */
public enum class HttpStatus(public val code: Int, public val phrase: String) {
    OK(code = 200, phrase = "OK"),
    ACCEPTED(code = 202, phrase = "Accepted"),
    BAD_REQUEST(code = 400, phrase = "Bad Request"),
    UNAUTHORIZED(code = 401, phrase = "Unauthorized"),
    NOT_FOUND(code = 404, phrase = "Not Found"),
    REQUEST_TIMEOUT(code = 408, phrase = "Request Timeout"),
    CONFLICT(code = 409, phrase = "Conflict"),
    GONE(code = 410, phrase = "Gone"),
    PRECONDITION_FAILED(code = 412, phrase = "Precondition Failed"),
    CONTENT_TOO_LARGE(code = 413, phrase = "Content Too Large"),
    MISDIRECTED(code = 421, phrase = "Misdirected Request"),
    TOO_MANY_REQUESTS(code = 429, phrase = "Too Many Requests"),
    HEAD_TOO_LARGE(code = 431, phrase = "Request Header Fields Too Large"),
    BAD_GATEWAY(code = 502, phrase = "Bad Gateway"),
    UNAVAILABLE(code = 503, phrase = "Service Unavailable"),
    GATEWAY_TIMEOUT(code = 504, phrase = "Gateway Timeout"),
}
