package org.parsleymoor.execution

import org.parsleymoor.core.AttemptId

/** A part of an endpoint's response stream, as received. */
public sealed interface StreamChunk {
    /** The attempt id that the chunk carries. */
    public val attempt: AttemptId

    /** The text of one token; [sequence] counts from 0 within the attempt. */
    public data class Token(
        override val attempt: AttemptId,
        public val sequence: Int,
        public val text: String,
    ) : StreamChunk

    /** The end marker; [tokens] is the number of tokens sent in this attempt and [reason] why the endpoint stopped. */
    public data class Final(
        override val attempt: AttemptId,
        public val tokens: Int,
        public val reason: String,
    ) : StreamChunk
}
