package org.parsleymoor.relay.http

import org.parsleymoor.core.Failure

/** Why a message cannot be read; [status] is the response that a caller gets for it. */
public enum class MessageFailure(public val status: HttpStatus, override val message: String) : Failure {
    MALFORMED_START_LINE(HttpStatus.BAD_REQUEST, "the start line is not of the form that RFC 9112 gives"),
    MALFORMED_HEADER(HttpStatus.BAD_REQUEST, "a header line has no name, no colon, or white space before its colon"),
    AMBIGUOUS_LENGTH(
        HttpStatus.BAD_REQUEST,
        "the length of the body is given twice, by both means, or not as a number"
    ),
    UNKNOWN_TRANSFER_CODING(HttpStatus.BAD_REQUEST, "the transfer coding is not chunked"),
    MALFORMED_CHUNK(HttpStatus.BAD_REQUEST, "a chunk has no valid size or is not followed by a line break"),
    MISSING_HOST(HttpStatus.BAD_REQUEST, "an HTTP/1.1 request needs exactly one Host header"),
    HEAD_TOO_LARGE(HttpStatus.HEAD_TOO_LARGE, "the head of the message is larger than the limit"),
    BODY_TOO_LARGE(HttpStatus.CONTENT_TOO_LARGE, "the body is larger than the limit"),
    ENDED_EARLY(HttpStatus.BAD_REQUEST, "the connection ended inside a message"),
    TOO_MANY_RESPONSES(HttpStatus.BAD_GATEWAY, "more responses arrived than one request can have"),
    UNIDENTIFIED(HttpStatus.BAD_GATEWAY, "the response names no request, unlike earlier ones of its connection"),
    TOO_SLOW(HttpStatus.REQUEST_TIMEOUT, "the message did not arrive within its time limit"),
}
