package org.parsleymoor.peering

import org.parsleymoor.core.Failure

/** Why a connection between instances, or an operation on it, failed or ended. */
public sealed interface PeerFailure : Failure {
    /** The connection to the address could not be opened. */
    public data class NotConnected(public val address: String, public val cause: String) : PeerFailure {
        override val message: String get() = "peer connection to $address failed: $cause"
    }

    /** The first message was not a [PeerMessage.Hello] with this side's protocol version. */
    public data class HandshakeFailed(public val expected: String, public val found: String) : PeerFailure {
        override val message: String get() = "peer handshake failed: expected $expected, found $found"
    }

    /** The size of a frame is outside the range 1 to [limitBytes]. */
    public data class FrameSize(public val bytes: Long, public val limitBytes: Int) : PeerFailure {
        override val message: String get() = "expected a frame of 1 to $limitBytes bytes, found $bytes"
    }

    /** A frame could not be decoded as a [PeerMessage]. */
    public data class UndecodableFrame(public val bytes: Int, public val cause: String) : PeerFailure {
        override val message: String get() = "could not decode a frame of $bytes bytes: $cause"
    }

    /** Nothing arrived for [silenceMillis]. */
    public data class Silent(public val silenceMillis: Long) : PeerFailure {
        override val message: String get() = "the peer sent nothing for $silenceMillis ms"
    }

    /** The connection was closed by either side or failed, or the exchange was closed. */
    public data class Closed(public val cause: String) : PeerFailure {
        override val message: String get() = "the connection to the peer is closed: $cause"
    }

    /** A body did not arrive as parts with a total of [expectedBytes]. */
    public data class InvalidBody(public val expectedBytes: Int, public val found: String) : PeerFailure {
        override val message: String get() = "expected a body of $expectedBytes bytes, found $found"
    }
}
