package org.parsleymoor.relay.http

import org.parsleymoor.core.Failure

/** Why a message cannot be read; [status] is the response that a caller gets for it. */
public enum class MessageFault(public val status: Int, override val message: String) : Failure {
    MALFORMED_START_LINE(400, "the start line is not of the form that RFC 9112 gives"),
    MALFORMED_HEADER(400, "a header line has no name, no colon, or white space before its colon"),
    AMBIGUOUS_LENGTH(400, "the length of the body is given twice, by both means, or not as a number"),
    UNKNOWN_TRANSFER_CODING(400, "the transfer coding is not chunked"),
    MALFORMED_CHUNK(400, "a chunk has no valid size or is not followed by a line break"),
    MISSING_HOST(400, "an HTTP/1.1 request needs exactly one Host header"),
    HEAD_TOO_LARGE(431, "the head of the message is larger than the limit"),
    BODY_TOO_LARGE(413, "the body is larger than the limit"),
    ENDED_EARLY(400, "the connection ended inside a message"),
    TOO_SLOW(408, "the message did not arrive within its time limit"),
}
