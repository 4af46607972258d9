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
    private var extensionBytes = 0L
    private var decodedBytes = 0L

    /** Whether the body is complete, more bytes are needed, or the framing is broken. */
    public var progress: BodyProgress = if (isEmpty()) BodyProgress.COMPLETE else BodyProgress.INCOMPLETE
        private set

    /** Whether the last call of [decode] stopped before the end of what its input holds, which more calls decode. */
    public var hasMore: Boolean = false
        private set

    /**
     * Consumes the bytes of the body that [input] holds and returns their content. A chunked body is decoded in steps
     * of a bounded amount of work: see [hasMore].
     */
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
        var contentBytes = 0
        var steps = 0
        hasMore = false
        var progressed = true
        while (progressed && progress == BodyProgress.INCOMPLETE && steps < MAX_STEPS) {
            val sizeBefore = input.size
            if (stage == Stage.CONTENT) {
                val count = minOf(remaining, input.size.toLong()).toInt()
                if (contentBytes + count > content.size) {
                    content = content.copyOf(maxOf(contentBytes + count, 2 * content.size))
                }
                input.takeInto(content, contentBytes, count)
                contentBytes += count
                remaining -= count
                decodedBytes += count
                if (remaining == 0L) stage = Stage.CONTENT_END
            } else {
                decodeFraming(input)
            }
            steps++
            progressed = input.size != sizeBefore
        }
        hasMore = progressed && progress == BodyProgress.INCOMPLETE
        return if (contentBytes == content.size) content else content.copyOf(contentBytes)
    }

    private fun decodeFraming(input: ByteQueue) {
        when {
            stage == Stage.CONTENT_END && input.startsLineBreak(0) -> {
                input.skip(LINE_BREAK_BYTES)
                stage = Stage.SIZE
            }
            stage == Stage.SIZE && decodePlainSize(input) -> Unit
            else -> decodeLine(input)
        }
    }

    /** Decodes a size line without an extension; returns false, and consumes nothing, if there is none. */
    private fun decodePlainSize(input: ByteQueue): Boolean {
        var bytes = 0L
        var digits = 0
        while (digits < minOf(MAX_SIZE_DIGITS, input.size)) {
            val digit = Character.digit(input.byteAt(digits).toInt(), HEXADECIMAL)
            if (digit < 0) break
            bytes = bytes * HEXADECIMAL + digit
            digits++
        }
        val plain = digits > 0 && input.startsLineBreak(digits)
        if (plain) {
            input.skip(digits + LINE_BREAK_BYTES)
            beginChunk(bytes)
        }
        return plain
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
        extensionBytes += line.length - digits.length
        val bytes = digits.takeIf { it.length in 1..MAX_SIZE_DIGITS && it.all(::isHexDigit) }?.toLong(HEXADECIMAL)
        val tooLong = extensionBytes > MAX_TRAILER_BYTES + MAX_EXTENSION_SHARE * decodedBytes
        if (bytes == null || tooLong) progress = BodyProgress.BROKEN else beginChunk(bytes)
    }

    private fun beginChunk(bytes: Long) {
        remaining = bytes
        stage = if (bytes == 0L) Stage.TRAILER else Stage.CONTENT
    }

    private enum class Stage { SIZE, CONTENT, CONTENT_END, TRAILER }

    private companion object {
        val EMPTY = ByteArray(0)
        const val HEXADECIMAL = 16

        // Sizes, contents and line breaks decoded in one call. Chunks of an ordinary size never come near it; very
        // small ones would otherwise occupy the event loop for as long as the buffer lasts.
        const val MAX_STEPS = 12_000

        // Seven hexadecimal digits allow chunks of 256 MB, far above every body limit, and cannot overflow.
        const val MAX_SIZE_DIGITS = 7

        // Limits a chunk's size line with its extensions, and a trailer line.
        const val MAX_LINE_BYTES = 4_096

        // As large as a head may be; endless trailers would keep a body from ever completing.
        const val MAX_TRAILER_BYTES = 32_768

        // Extensions of chunks may have this many bytes for each byte of content beyond what trailers may have: they
        // cost work but count towards no limit of the body.
        const val MAX_EXTENSION_SHARE = 16

        fun isHexDigit(char: Char): Boolean = char.isAsciiDigit() || char in 'a'..'f' || char in 'A'..'F'
    }
}
