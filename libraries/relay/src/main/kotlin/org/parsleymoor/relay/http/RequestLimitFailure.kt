package org.parsleymoor.relay.http

import org.parsleymoor.core.Failure

/** Why a named limit of requests cannot be followed as it stands. */
public sealed interface RequestLimitFailure : Failure {
    /** [value] is not a decimal number of requests a second. */
    public data class Unreadable(public val value: String) : RequestLimitFailure {
        override val message: String get() = "expected a decimal number of requests a second, found \"$value\""
    }

    /** One response names several [limits]; the smallest is safe. */
    public data class Contradictory(public val limits: List<Double>) : RequestLimitFailure {
        /** The smallest of the limits, in requests a second. */
        public val smallest: Double get() = limits.min()

        override val message: String get() = "expected one limit, found ${limits.joinToString()}"
    }
}
