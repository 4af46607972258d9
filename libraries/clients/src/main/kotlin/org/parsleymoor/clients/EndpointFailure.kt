package org.parsleymoor.clients

import org.parsleymoor.core.Failure

/** Why a call to an endpoint failed. [mayHaveRun] is false only when the endpoint cannot have run the call. */
public sealed interface EndpointFailure : Failure {
    /** Whether the endpoint may have run the call, or part of it. */
    public val mayHaveRun: Boolean

    /** No connection was made, so no byte of the call was sent. */
    public data class NotConnected(public val address: String, public val cause: String) : EndpointFailure {
        override val mayHaveRun: Boolean get() = false
        override val message: String get() = "expected a connection to $address, found: $cause"
    }

    /** The endpoint refused before running the call. */
    public data class Refused(public val address: String, public val refusal: EngineRefusal) : EndpointFailure {
        override val mayHaveRun: Boolean get() = false
        override val message: String get() = "$address refused: ${refusal.reason}: ${refusal.detail}"
    }

    /** The connection broke after the call was sent. */
    public data class Broken(public val address: String, public val cause: String) : EndpointFailure {
        override val mayHaveRun: Boolean get() = true
        override val message: String get() = "the connection to $address broke: $cause"
    }

    /** Nothing arrived for [silenceMillis]. */
    public data class Silent(public val address: String, public val silenceMillis: Long) : EndpointFailure {
        override val mayHaveRun: Boolean get() = true
        override val message: String get() = "$address sent nothing for $silenceMillis ms"
    }

    /** The answer does not follow the protocol: wrong status, malformed body, wrong order, no final event. */
    public data class Malformed(
        public val address: String,
        public val expected: String,
        public val found: String,
    ) : EndpointFailure {
        override val mayHaveRun: Boolean get() = true
        override val message: String get() = "$address: expected $expected, found $found"
    }
}
