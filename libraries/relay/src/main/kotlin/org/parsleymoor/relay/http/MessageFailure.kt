package org.parsleymoor.relay.http

import org.parsleymoor.core.Failure

/** The reason why an HTTP message cannot be read; [status] is that of the response sent to the caller. */
public enum class MessageFailure(public val status: HttpStatus, override val message: String) : Failure {
    MALFORMED_START_LINE(HttpStatus.BAD_REQUEST, "the start line does not conform to RFC 9112"),
    MALFORMED_HEADER(HttpStatus.BAD_REQUEST, "a header line has no name, no colon, or white space before the colon"),
    AMBIGUOUS_LENGTH(
        HttpStatus.BAD_REQUEST,
        "the body length is given more than once, by Content-Length and Transfer-Encoding together, or not as a number"
    ),
    UNKNOWN_TRANSFER_CODING(HttpStatus.BAD_REQUEST, "the transfer coding is not chunked"),
    MALFORMED_CHUNK(HttpStatus.BAD_REQUEST, "a chunk has no valid size or is not followed by a line break"),
    MISSING_HOST(HttpStatus.BAD_REQUEST, "an HTTP/1.1 request needs exactly one Host header"),
    HEAD_TOO_LARGE(HttpStatus.HEAD_TOO_LARGE, "the message head is larger than the limit"),
    BODY_TOO_LARGE(HttpStatus.CONTENT_TOO_LARGE, "the body is larger than the limit"),
    NO_ROOM(HttpStatus.UNAVAILABLE, "this instance has no room for more of the body"),
    WITHOUT_EVENTS(HttpStatus.BAD_GATEWAY, "the stream has too many bytes without an event"),
    ENDED_EARLY(HttpStatus.BAD_REQUEST, "the connection ended before the message was complete"),
    TOO_MANY_RESPONSES(HttpStatus.BAD_GATEWAY, "more responses arrived than a request may have"),
    UNIDENTIFIED(HttpStatus.BAD_GATEWAY, "the response carries no request id, unlike earlier ones on its connection"),
    TOO_SLOW(HttpStatus.REQUEST_TIMEOUT, "the message did not arrive within its time limit"),
}
