package org.parsleymoor.relay.http

import org.parsleymoor.core.Failure

/** Why a `Retry-After` field cannot be followed. */
public sealed interface RetryAfterFailure : Failure {
    /** [value] is not a number of seconds. */
    public data class Unreadable(public val value: String) : RetryAfterFailure {
        override val message: String get() = "expected a number of seconds, found \"$value\""
    }

    /** [value] is longer than [limitMillis]. */
    public data class TooLong(public val value: String, public val limitMillis: Long) : RetryAfterFailure {
        override val message: String get() = "expected at most $limitMillis ms, found \"$value\" seconds"
    }
}
