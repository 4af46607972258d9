package org.parsleymoor.relay.http

/** How far a body has been read. */
public enum class BodyProgress { INCOMPLETE, COMPLETE, BROKEN }

/**
 * Takes the bytes of one body out of a [ByteQueue] and removes their framing. Bytes after the body stay in the queue.
 * Not safe for use from several threads.
 */
public class BodyDecoder(private val framing: BodyFraming) {
    private var remaining = (framing as? BodyFraming.Length)?.bytes ?: 0
    private var stage = Stage.SIZE
    private var trailerBytes = 0

    /** Whether the body is complete, more bytes are needed, or the framing is broken. */
    public var progress: BodyProgress = if (isEmpty()) BodyProgress.COMPLETE else BodyProgress.INCOMPLETE
        private set

    /** Consumes what [input] holds of the body and returns its content. */
    public fun decode(input: ByteQueue): ByteArray {
        if (progress != BodyProgress.INCOMPLETE) return EMPTY
        return when (framing) {
            BodyFraming.None -> EMPTY
            BodyFraming.UntilClose -> input.take(input.size)
            is BodyFraming.Length -> counted(input).also { if (remaining == 0L) progress = BodyProgress.COMPLETE }
            BodyFraming.Chunked -> chunks(input)
        }
    }

    /** Notes that the connection has ended; [orderly] is false when it was reset. */
    public fun endOfInput(orderly: Boolean) {
        if (progress != BodyProgress.INCOMPLETE) return
        progress = if (framing == BodyFraming.UntilClose && orderly) BodyProgress.COMPLETE else BodyProgress.BROKEN
    }

    private fun isEmpty(): Boolean =
        framing == BodyFraming.None || (framing is BodyFraming.Length && framing.bytes == 0L)

    private fun counted(input: ByteQueue): ByteArray {
        val taken = input.take(minOf(remaining, input.size.toLong()).toInt())
        remaining -= taken.size
        return taken
    }

    private fun chunks(input: ByteQueue): ByteArray {
        var content = EMPTY
        var moved = true
        while (moved && progress == BodyProgress.INCOMPLETE) {
            val before = input.size
            if (stage == Stage.CONTENT) content += counted(input) else line(input)
            if (stage == Stage.CONTENT && remaining == 0L) stage = Stage.CONTENT_END
            moved = input.size != before
        }
        return content
    }

    private fun line(input: ByteQueue) {
        val line = input.takeLine()
        when {
            line == null -> if (input.size > LINE_LIMIT_BYTES) progress = BodyProgress.BROKEN
            stage == Stage.SIZE -> size(line)
            stage == Stage.CONTENT_END -> if (line.isEmpty()) stage = Stage.SIZE else progress = BodyProgress.BROKEN
            line.isEmpty() -> progress = BodyProgress.COMPLETE
            else -> {
                trailerBytes += line.length
                if (trailerBytes > TRAILER_LIMIT_BYTES) progress = BodyProgress.BROKEN
            }
        }
    }

    private fun size(line: String) {
        val digits = line.substringBefore(';').trim(' ', '\t')
        val bytes = digits.takeIf { it.length in 1..SIZE_DIGITS && it.all(::isHexDigit) }?.toLong(HEXADECIMAL)
        when (bytes) {
            null -> progress = BodyProgress.BROKEN
            0L -> stage = Stage.TRAILER
            else -> {
                remaining = bytes
                stage = Stage.CONTENT
            }
        }
    }

    private enum class Stage { SIZE, CONTENT, CONTENT_END, TRAILER }

    private companion object {
        val EMPTY = ByteArray(0)
        const val HEXADECIMAL = 16

        // Seven digits allow chunks of 256 MB, far over every body limit, and cannot overflow.
        const val SIZE_DIGITS = 7

        // Longest chunk extension or trailer line that is accepted.
        const val LINE_LIMIT_BYTES = 4_096

        // As many bytes as a head may have; trailers without end never complete a body.
        const val TRAILER_LIMIT_BYTES = 32_768

        fun isHexDigit(char: Char): Boolean = char.isAsciiDigit() || char in 'a'..'f' || char in 'A'..'F'
    }
}
