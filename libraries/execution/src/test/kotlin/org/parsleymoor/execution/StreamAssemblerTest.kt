package org.parsleymoor.execution

import org.junit.jupiter.api.Test
import org.parsleymoor.core.AttemptId
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class StreamAssemblerTest {
    private val first = AttemptId("r.0")
    private val second = AttemptId("r.1")
    private val assembler = StreamAssembler()

    @Test
    fun `a resumed attempt continues after the delivered tokens`() {
        assembler.begin(first)
        assembler.accept(StreamChunk.Token(first, 0, "one "))
        assembler.accept(StreamChunk.Token(first, 1, "two "))
        expectThat(assembler.begin(second)).isEqualTo(ResumePoint(2, "one two "))
        assembler.accept(StreamChunk.Token(second, 0, "three"))
        expectThat(assembler.accept(StreamChunk.Final(second, 1, "stop"))).isEqualTo(ChunkResult.Complete("stop", 3))
    }

    @Test
    fun `a late chunk of an abandoned attempt is not delivered`() {
        assembler.begin(first)
        assembler.begin(second)
        expectThat(assembler.accept(StreamChunk.Token(first, 0, "late")))
            .isEqualTo(ChunkResult.Dropped(DropCause.LATE))
    }

    @Test
    fun `a chunk of another request is not delivered`() {
        assembler.begin(first)
        expectThat(assembler.accept(StreamChunk.Token(AttemptId("other.0"), 0, "crossed")))
            .isEqualTo(ChunkResult.Dropped(DropCause.CROSSED))
    }

    @Test
    fun `a repeated token is delivered once`() {
        assembler.begin(first)
        assembler.accept(StreamChunk.Token(first, 0, "one"))
        expectThat(assembler.accept(StreamChunk.Token(first, 0, "one")))
            .isEqualTo(ChunkResult.Dropped(DropCause.REPEATED))
    }

    @Test
    fun `a missing token ends the attempt`() {
        assembler.begin(first)
        expectThat(assembler.accept(StreamChunk.Token(first, 1, "two")))
            .isEqualTo(ChunkResult.Invalid(StreamError.Gap(first, 0, 1)))
    }

    @Test
    fun `an end marker with a wrong token count does not complete the answer`() {
        assembler.begin(first)
        assembler.accept(StreamChunk.Token(first, 0, "one"))
        expectThat(assembler.accept(StreamChunk.Final(first, 2, "stop")))
            .isEqualTo(ChunkResult.Invalid(StreamError.TokenCountMismatch(first, 1, 2)))
    }
}
