package org.parsleymoor.peering

import org.parsleymoor.core.Failure

/** Why a connection between gateways ended or could not be made. */
public sealed interface PeerFailure : Failure {
    /** The address did not accept a connection in time. */
    public data class NotConnected(public val address: String, public val cause: String) : PeerFailure {
        override val message: String get() = "expected a connection to peer $address, found: $cause"
    }

    /** The first frame was not a greeting of the same protocol version. */
    public data class HandshakeFailed(public val expected: String, public val found: String) : PeerFailure {
        override val message: String get() = "peer handshake: expected $expected, found $found"
    }

    /** A frame's length is outside 1 to [limitBytes]. */
    public data class FrameSize(public val bytes: Long, public val limitBytes: Int) : PeerFailure {
        override val message: String get() = "expected a frame of 1 to $limitBytes bytes, found $bytes"
    }

    /** A frame is not a message of this protocol version. */
    public data class UndecodableFrame(public val bytes: Int, public val cause: String) : PeerFailure {
        override val message: String get() = "expected a known message, found $bytes unreadable bytes: $cause"
    }

    /** Nothing arrived for [silenceMillis]. */
    public data class Silent(public val silenceMillis: Long) : PeerFailure {
        override val message: String get() = "the peer sent nothing for $silenceMillis ms"
    }

    /** The connection was closed by either side or broke. */
    public data class Closed(public val cause: String) : PeerFailure {
        override val message: String get() = "the connection to the peer is closed: $cause"
    }

    /** The parts of a body do not add up to [expectedBytes]. */
    public data class InvalidBody(public val expectedBytes: Int, public val found: String) : PeerFailure {
        override val message: String get() = "expected a body of $expectedBytes bytes, found $found"
    }
}
