package org.parsleymoor.entry

/** Why the response to a control call could not be used. */
public enum class RejectionReason {
    /** It has more bytes than such a response may have. */
    TOO_LARGE,

    /** This instance has no room for it. */
    NO_ROOM,

    /** It is successful, but cannot be decoded. */
    UNDECODABLE,
}
