package org.parsleymoor.relay.http

/** A queue of received bytes that have not been consumed. Not thread-safe. */
public class ByteQueue {
    private var bytes = ByteArray(INITIAL_BYTES)
    private var start = 0
    private var end = 0

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
        require(count <= size) { "expected at most $size bytes, got $count" }
        val taken = bytes.copyOfRange(start, start + count)
        start += count
        if (start == end) clear()
        return taken
    }

    /** Removes a line and returns it without its line break, or returns null while the line is incomplete. */
    public fun takeLine(): String? {
        val lineEnd = (start until end).firstOrNull { bytes[it] == LINE_FEED } ?: return null
        val contentEnd = if (lineEnd > start && bytes[lineEnd - 1] == CARRIAGE_RETURN) lineEnd - 1 else lineEnd
        val line = String(bytes, start, contentEnd - start, Charsets.ISO_8859_1)
        start = lineEnd + 1
        return line
    }

    /** Returns the length of the message head at the front, including its final empty line, or null if incomplete. */
    public fun headLength(): Int? {
        for (index in start + HEAD_END.size - 1 until end) {
            if (bytes[index] == LINE_FEED && endsHead(index)) return index + 1 - start
        }
        return null
    }

    /** Removes empty lines at the front, which RFC 9112 (2.2) allows before a request; returns their size in bytes. */
    public fun skipEmptyLines(): Int {
        val startBefore = start
        while (size >= 2 && bytes[start] == CARRIAGE_RETURN && bytes[start + 1] == LINE_FEED) start += 2
        return start - startBefore
    }

    private fun endsHead(index: Int): Boolean =
        HEAD_END.indices.all { bytes[index - HEAD_END.size + 1 + it] == HEAD_END[it] }

    private fun clear() {
        start = 0
        end = 0
        if (bytes.size > MAX_IDLE_BYTES) bytes = ByteArray(INITIAL_BYTES)
    }

    private fun reserve(count: Int) {
        if (end + count <= bytes.size) return
        val target = if (size + count <= bytes.size) bytes else ByteArray(maxOf(size + count, bytes.size * 2))
        bytes.copyInto(target, 0, start, end)
        end -= start
        start = 0
        bytes = target
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        val HEAD_END = "\r\n\r\n".encodeToByteArray()

        // Fits most message heads and events; larger ones double it.
        const val INITIAL_BYTES = 2_048

        // An idle connection keeps no larger buffer than this.
        const val MAX_IDLE_BYTES = 16_384
    }
}
