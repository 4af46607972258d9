package org.parsleymoor.execution

import org.parsleymoor.core.AttemptId

/** Where an attempt resumes: the number of tokens that the caller already has, and their [text]. */
public data class ResumePoint(public val tokens: Int, public val text: String)

/**
 * Assembles the answer to one request from the streams of its attempts (invariant I6). Only chunks of the current
 * attempt are delivered, in sequence and once; an answer is complete only when the token count of the end marker equals
 * the number of tokens received. Not thread-safe.
 */
public class StreamAssembler {
    private val delivered = StringBuilder()
    private val previous = mutableSetOf<AttemptId>()
    private var current: AttemptId? = null
    private var deliveredTokens = 0
    private var nextSequence = 0
    private var complete = false

    /** Makes [attempt] the current one and returns where it resumes. */
    public fun begin(attempt: AttemptId): ResumePoint {
        current?.let { previous += it }
        current = attempt
        nextSequence = 0
        return ResumePoint(deliveredTokens, delivered.toString())
    }

    /** Checks [chunk] and returns whether to deliver it, drop it, or end the attempt or the answer. */
    public fun accept(chunk: StreamChunk): ChunkResult = when {
        chunk.attempt in previous -> ChunkResult.Dropped(DropCause.LATE)
        chunk.attempt != current -> ChunkResult.Dropped(DropCause.CROSSED)
        complete -> ChunkResult.Dropped(DropCause.LATE)
        else -> acceptCurrent(chunk)
    }

    private fun acceptCurrent(chunk: StreamChunk): ChunkResult = when (chunk) {
        is StreamChunk.Token -> acceptToken(chunk)
        is StreamChunk.Final -> acceptFinal(chunk)
    }

    private fun acceptToken(token: StreamChunk.Token): ChunkResult = when {
        token.sequence < nextSequence -> ChunkResult.Dropped(DropCause.REPEATED)
        token.sequence > nextSequence ->
            ChunkResult.Invalid(StreamError.Gap(token.attempt, nextSequence, token.sequence))
        else -> deliver(token.text)
    }

    private fun deliver(text: String): ChunkResult {
        nextSequence++
        deliveredTokens++
        delivered.append(text)
        return ChunkResult.Deliver(text)
    }

    private fun acceptFinal(final: StreamChunk.Final): ChunkResult {
        if (final.tokens != nextSequence) {
            return ChunkResult.Invalid(StreamError.TokenCountMismatch(final.attempt, nextSequence, final.tokens))
        }
        complete = true
        return ChunkResult.Complete(final.reason, deliveredTokens)
    }
}
