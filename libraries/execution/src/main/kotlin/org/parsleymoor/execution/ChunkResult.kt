package org.parsleymoor.execution

/** What [StreamAssembler.accept] returns for one chunk. */
public sealed interface ChunkResult {
    /** The chunk continues the answer; its [text] is sent to the caller. */
    public data class Deliver(public val text: String) : ChunkResult

    /** The answer is complete; [reason] is the endpoint's finish reason and [tokens] the count over all attempts. */
    public data class Complete(public val reason: String, public val tokens: Int) : ChunkResult

    /** The chunk is not part of the answer and is dropped. */
    public data class Dropped(public val cause: DropCause) : ChunkResult

    /** The stream is invalid, so the attempt has to be abandoned. */
    public data class Invalid(public val failure: StreamError) : ChunkResult
}

/** Why a chunk is dropped. */
public enum class DropCause {
    /** It belongs to an earlier attempt of this request, or arrived after the end marker. */
    LATE,

    /** It belongs to another request. */
    CROSSED,

    /** It was already delivered. */
    REPEATED,
}
