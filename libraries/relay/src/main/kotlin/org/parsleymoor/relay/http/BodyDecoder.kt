package org.parsleymoor.relay.http

/** The progress of decoding a body. */
public enum class BodyProgress { INCOMPLETE, COMPLETE, BROKEN }

/**
 * Decodes one body from a [ByteQueue] and removes its framing. Bytes after the body stay in the queue. Not thread-safe.
 */
public class BodyDecoder(private val framing: BodyFraming) {
    private var remaining = (framing as? BodyFraming.Length)?.bytes ?: 0
    private var stage = Stage.SIZE
    private var trailerBytes = 0

    /** Whether the body is complete, more bytes are needed, or the framing is broken. */
    public var progress: BodyProgress = if (isEmpty()) BodyProgress.COMPLETE else BodyProgress.INCOMPLETE
        private set

    /** Consumes the bytes of the body that [input] holds and returns their content. */
    public fun decode(input: ByteQueue): ByteArray {
        if (progress != BodyProgress.INCOMPLETE) return EMPTY
        return when (framing) {
            BodyFraming.None -> EMPTY
            BodyFraming.UntilClose -> input.take(input.size)
            is BodyFraming.Length -> takeRemaining(input).also { if (remaining == 0L) progress = BodyProgress.COMPLETE }
            BodyFraming.Chunked -> decodeChunks(input)
        }
    }

    /** Records the end of the connection; [orderly] is false when it was reset. */
    public fun endOfInput(orderly: Boolean) {
        if (progress != BodyProgress.INCOMPLETE) return
        progress = if (framing == BodyFraming.UntilClose && orderly) BodyProgress.COMPLETE else BodyProgress.BROKEN
    }

    private fun isEmpty(): Boolean =
        framing == BodyFraming.None || (framing is BodyFraming.Length && framing.bytes == 0L)

    private fun takeRemaining(input: ByteQueue): ByteArray {
        val taken = input.take(minOf(remaining, input.size.toLong()).toInt())
        remaining -= taken.size
        return taken
    }

    private fun decodeChunks(input: ByteQueue): ByteArray {
        var content = EMPTY
        var progressed = true
        while (progressed && progress == BodyProgress.INCOMPLETE) {
            val sizeBefore = input.size
            if (stage == Stage.CONTENT) content += takeRemaining(input) else decodeLine(input)
            if (stage == Stage.CONTENT && remaining == 0L) stage = Stage.CONTENT_END
            progressed = input.size != sizeBefore
        }
        return content
    }

    private fun decodeLine(input: ByteQueue) {
        val line = input.takeLine()
        when {
            line == null -> if (input.size > MAX_LINE_BYTES) progress = BodyProgress.BROKEN
            stage == Stage.SIZE -> decodeSize(line)
            stage == Stage.CONTENT_END -> if (line.isEmpty()) stage = Stage.SIZE else progress = BodyProgress.BROKEN
            line.isEmpty() -> progress = BodyProgress.COMPLETE
            else -> {
                trailerBytes += line.length
                if (trailerBytes > MAX_TRAILER_BYTES) progress = BodyProgress.BROKEN
            }
        }
    }

    private fun decodeSize(line: String) {
        val digits = line.substringBefore(';').trim(' ', '\t')
        val bytes = digits.takeIf { it.length in 1..MAX_SIZE_DIGITS && it.all(::isHexDigit) }?.toLong(HEXADECIMAL)
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

        // Seven hexadecimal digits allow chunks of 256 MB, far above every body limit, and cannot overflow.
        const val MAX_SIZE_DIGITS = 7

        // Limits a chunk's size line with its extensions, and a trailer line.
        const val MAX_LINE_BYTES = 4_096

        // As large as a head may be; endless trailers would keep a body from ever completing.
        const val MAX_TRAILER_BYTES = 32_768

        fun isHexDigit(char: Char): Boolean = char.isAsciiDigit() || char in 'a'..'f' || char in 'A'..'F'
    }
}
