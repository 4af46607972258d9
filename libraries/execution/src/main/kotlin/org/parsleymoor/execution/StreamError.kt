package org.parsleymoor.execution

import org.parsleymoor.core.AttemptId
import org.parsleymoor.core.Failure

/** Why an attempt's stream cannot be continued. The text that was delivered before it is correct. */
public sealed interface StreamError : Failure {
    /** The attempt whose stream is at fault. */
    public val attempt: AttemptId

    /** A token is missing: the sequence numbers jump. */
    public data class Gap(
        override val attempt: AttemptId,
        public val expectedSequence: Int,
        public val foundSequence: Int,
    ) : StreamError {
        override val message: String
            get() = "attempt $attempt: expected token $expectedSequence, found token $foundSequence"
    }

    /** The end marker counts more or fewer tokens than arrived. */
    public data class TokenCountMismatch(
        override val attempt: AttemptId,
        public val receivedTokens: Int,
        public val finalTokens: Int,
    ) : StreamError {
        override val message: String
            get() = "attempt $attempt: received $receivedTokens tokens, the final event counts $finalTokens"
    }
}
