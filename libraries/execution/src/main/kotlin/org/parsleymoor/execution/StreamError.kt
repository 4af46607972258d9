package org.parsleymoor.execution

import org.parsleymoor.core.AttemptId
import org.parsleymoor.core.Failure

/** Why the stream of an attempt cannot be continued. Text that was delivered before the error is valid. */
public sealed interface StreamError : Failure {
    /** The attempt whose stream failed. */
    public val attempt: AttemptId

    /** A token is missing: the sequence numbers are not contiguous. */
    public data class Gap(
        override val attempt: AttemptId,
        public val expectedSequence: Int,
        public val foundSequence: Int,
    ) : StreamError {
        override val message: String
            get() = "attempt $attempt: expected token $expectedSequence, found token $foundSequence"
    }

    /** The token count in the end marker differs from the number of tokens that were received. */
    public data class TokenCountMismatch(
        override val attempt: AttemptId,
        public val receivedTokens: Int,
        public val finalTokens: Int,
    ) : StreamError {
        override val message: String
            get() = "attempt $attempt: received $receivedTokens tokens, but the end marker reports $finalTokens"
    }
}
