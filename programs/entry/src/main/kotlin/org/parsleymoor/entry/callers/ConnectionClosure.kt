package org.parsleymoor.entry.callers

/** Why a connection of a caller was closed. */
public enum class CloseReason {
    /** The caller closed or reset it. */
    CALLER_CLOSED,

    /** No request arrived within the idle limit. */
    IDLE,

    /** A complete response was written, after which the connection does not stay open. */
    ANSWERED,

    /** What the caller sent is not a request within the limits; the refusal was written. */
    MALFORMED,

    /** There was no room for the body of a request; the refusal was written. */
    NO_ROOM,

    /** It was closed without an answer because room was short; no request of it was being handled. */
    SHED,

    /** The caller took nothing of its response for the idle limit. */
    NOT_READING,

    /** A request ended without a complete response. */
    UNFINISHED,

    /** Reading or handling a request ended with an unexpected error. */
    FAILED,

    /** It was idle while this instance was shutting down. */
    SHUTDOWN,
}

/**
 * The end of a caller's connection on which [requests] requests were read; [unreadBytes] bytes had arrived and were not
 * read as part of a request. [fault] is the error of this process that ended it, if it is known.
 */
internal class ConnectionClosure(
    val reason: CloseReason,
    val requests: Int,
    val unreadBytes: Int,
    val fault: Throwable? = null,
) {
    /** Whether a caller may have been left without an answer. */
    val isSuspicious: Boolean
        get() = when (reason) {
            CloseReason.UNFINISHED, CloseReason.FAILED, CloseReason.NOT_READING -> true
            CloseReason.IDLE, CloseReason.SHUTDOWN -> unreadBytes > 0
            CloseReason.CALLER_CLOSED, CloseReason.ANSWERED, CloseReason.MALFORMED, CloseReason.NO_ROOM,
            CloseReason.SHED -> false
        }
}
