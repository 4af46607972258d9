package org.parsleymoor.core

/** A typed error; every library declares its failures as a sealed hierarchy that implements this interface. */
public interface Failure {
    /** States what was expected and what was found instead. */
    public val message: String
}

/** Carries a typed [failure] through code that can only throw, such as a coroutine's cancellation path. */
public class FailureException(
    public val failure: Failure,
    cause: Throwable? = null,
) : RuntimeException(failure.message, cause)
