package org.parsleymoor.relay.http

/** A queue of received bytes that have not been consumed. Not thread-safe. */
public class ByteQueue {
    private var bytes = ByteArray(INITIAL_BYTES)
    private var start = 0
    private var end = 0

    // Bytes at the front that are known to hold no line feed and no end of a head, so that a line or head that arrives
    // in small pieces is not searched from its start each time.
    private var withoutLineFeed = 0
    private var withoutHeadEnd = 0

    /** The number of bytes that the queue occupies, whether it holds as many or not. */
    public val capacity: Int get() = bytes.size

    /** The number of bytes in the queue. */
    public val size: Int get() = end - start

    /** Appends [more] at the end. */
    public fun append(more: ByteArray) {
        reserve(more.size)
        more.copyInto(bytes, end)
        end += more.size
    }

    /** Removes the first [count] bytes and returns them. */
    public fun take(count: Int): ByteArray {
        val taken = ByteArray(count)
        takeInto(taken, offset = 0, count = count)
        return taken
    }

    /** Moves the first [count] bytes to [target] at [offset]. */
    public fun takeInto(target: ByteArray, offset: Int, count: Int) {
        require(count <= size) { "expected at most $size bytes, got $count" }
        bytes.copyInto(target, offset, start, start + count)
        skip(count)
    }

    /** Removes the first [count] bytes. */
    public fun skip(count: Int) {
        require(count <= size) { "expected at most $size bytes, got $count" }
        start += count
        withoutLineFeed = 0
        withoutHeadEnd = 0
        if (start < end) return
        start = 0
        end = 0
        if (bytes.size > IDLE_BYTES) bytes = ByteArray(INITIAL_BYTES)
    }

    /** Returns the byte at [index], counted from the front. */
    public fun byteAt(index: Int): Byte {
        require(index < size) { "expected an index below $size, got $index" }
        return bytes[start + index]
    }

    /** Removes a line and returns it without its line break, or returns null while the line is incomplete. */
    public fun takeLine(): String? {
        var lineEnd = start + withoutLineFeed
        while (lineEnd < end && bytes[lineEnd] != LINE_FEED) lineEnd++
        if (lineEnd == end) {
            withoutLineFeed = size
            return null
        }
        val contentEnd = if (lineEnd > start && bytes[lineEnd - 1] == CARRIAGE_RETURN) lineEnd - 1 else lineEnd
        val line = String(bytes, start, contentEnd - start, Charsets.ISO_8859_1)
        skip(lineEnd + 1 - start)
        return line
    }

    /** Returns the length of the message head at the front, including its final empty line, or null if incomplete. */
    public fun headLength(): Int? {
        for (index in start + maxOf(HEAD_END.size - 1, withoutHeadEnd) until end) {
            if (bytes[index] == LINE_FEED && endsHead(index)) return index + 1 - start
        }
        withoutHeadEnd = size
        return null
    }

    /** Removes empty lines at the front, which RFC 9112 (2.2) allows before a request; returns their size in bytes. */
    public fun skipEmptyLines(): Int {
        var count = 0
        while (startsLineBreak(count)) count += LINE_BREAK_BYTES
        if (count > 0) skip(count)
        return count
    }

    private fun endsHead(index: Int): Boolean =
        HEAD_END.indices.all { bytes[index - HEAD_END.size + 1 + it] == HEAD_END[it] }

    private fun reserve(count: Int) {
        if (end + count <= bytes.size) return
        val growth = minOf(bytes.size, MAX_GROWTH_BYTES)
        val target = if (size + count <= bytes.size) bytes else ByteArray(maxOf(size + count, bytes.size + growth))
        bytes.copyInto(target, 0, start, end)
        end -= start
        start = 0
        bytes = target
    }

    public companion object {
        /** The most that an empty queue occupies. */
        public const val IDLE_BYTES: Int = 4_096

        // Fits most message heads and events; larger ones make it grow.
        private const val INITIAL_BYTES = 2_048

        private val HEAD_END = "\r\n\r\n".encodeToByteArray()

        // A queue doubles up to this step, so that a large one has little unused room.
        private const val MAX_GROWTH_BYTES = 32_768
    }
}

/** Whether the bytes at [index], counted from the front, are a line break; false while one of them is missing. */
internal fun ByteQueue.startsLineBreak(index: Int): Boolean =
    index + LINE_BREAK_BYTES <= size && byteAt(index) == CARRIAGE_RETURN && byteAt(index + 1) == LINE_FEED

/** The size of a line break. */
internal const val LINE_BREAK_BYTES: Int = 2

private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()
