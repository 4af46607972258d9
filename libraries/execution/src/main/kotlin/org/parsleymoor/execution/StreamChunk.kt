package org.parsleymoor.execution

import org.parsleymoor.core.AttemptId

/** A part of an endpoint's answer stream, as it arrived. */
public sealed interface StreamChunk {
    /** The attempt that the chunk claims to belong to. */
    public val attempt: AttemptId

    /** The text of one token; [sequence] counts from 0 within the attempt. */
    public data class Token(
        override val attempt: AttemptId,
        public val sequence: Int,
        public val text: String,
    ) : StreamChunk

    /** The end marker; [tokens] is the number of tokens that the endpoint sent in this attempt. */
    public data class Final(
        override val attempt: AttemptId,
        public val tokens: Int,
        public val reason: String,
    ) : StreamChunk
}
