package org.parsleymoor.core

/** An error with a type of its own; every library declares its failures as a sealed hierarchy of this interface. */
public interface Failure {
    /** Says what was expected and what was found instead. */
    public val message: String
}

/** Carries a typed [failure] through an interface that can only throw, such as a coroutine's cancellation path. */
public class FailureException(
    public val failure: Failure,
    cause: Throwable? = null,
) : RuntimeException(failure.message, cause)
