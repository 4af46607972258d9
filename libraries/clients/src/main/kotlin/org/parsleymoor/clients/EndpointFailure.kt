package org.parsleymoor.clients

import org.parsleymoor.core.Failure

/** Why a call to an endpoint or a gateway's operations port failed. */
public sealed interface EndpointFailure : Failure {
    /** Whether the endpoint may have executed the call at least in part; false only if that is impossible. */
    public val mayHaveRun: Boolean

    /** No connection could be opened, so nothing was sent. */
    public data class NotConnected(public val address: String, public val cause: String) : EndpointFailure {
        override val mayHaveRun: Boolean get() = false
        override val message: String get() = "could not connect to $address: $cause"
    }

    /** The endpoint refused the call without executing it. */
    public data class Refused(public val address: String, public val refusal: EngineRefusal) : EndpointFailure {
        override val mayHaveRun: Boolean get() = false
        override val message: String get() = "$address refused: ${refusal.reason}: ${refusal.detail}"
    }

    /** The connection failed after the call was sent. */
    public data class Broken(public val address: String, public val cause: String) : EndpointFailure {
        override val mayHaveRun: Boolean get() = true
        override val message: String get() = "the connection to $address failed: $cause"
    }

    /** The endpoint sent nothing for [silenceMillis]. */
    public data class Silent(public val address: String, public val silenceMillis: Long) : EndpointFailure {
        override val mayHaveRun: Boolean get() = true
        override val message: String get() = "$address sent nothing for $silenceMillis ms"
    }

    /** The response violates the protocol: unexpected status, malformed body, wrong order or no final event. */
    public data class Malformed(
        public val address: String,
        public val expected: String,
        public val found: String,
    ) : EndpointFailure {
        override val mayHaveRun: Boolean get() = true
        override val message: String get() = "$address: expected $expected, found $found"
    }
}
