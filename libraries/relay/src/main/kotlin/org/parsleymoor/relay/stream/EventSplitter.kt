package org.parsleymoor.relay.stream

/**
 * Splits the bytes of an event stream into complete events, so that a caller never receives a partial event. An event
 * has a `data` or an `id` field; comments, empty lines and other blocks only accompany events. Each byte is copied a
 * bounded number of times, however the bytes are divided into reads and events. Not thread-safe.
 */
public class EventSplitter {
    // Blocks that are kept until the first event, up to blockStart, then the block that is still incomplete.
    private var buffer = EMPTY
    private var size = 0

    // A block is what stands between two empty lines.
    private var blockStart = 0
    private var lineStart = 0
    private var isEvent = false
    private var idLine: IntRange? = null
    private var hasBegun = false

    /** The number of bytes of the block that is still incomplete. */
    public val pendingBytes: Int get() = size - blockStart

    /** The number of bytes that are kept in memory. */
    public val heldBytes: Int get() = buffer.size

    /** The number of bytes that have arrived since the last event ended. */
    public var bytesSinceEvent: Int = 0
        private set

    /**
     * Appends [bytes], which must not be used afterwards, and returns what they complete. Events whose id [isNew]
     * rejects are left out. What precedes the first event is returned together with it.
     */
    public fun add(bytes: ByteArray, isNew: (id: String?) -> Boolean = { true }): EventBatch {
        val firstNew = size
        append(bytes)
        val output = Output(end = blockStart)
        for (index in firstNew until size) {
            if (buffer[index] != LINE_FEED) continue
            if (isEmptyLine(index)) endBlock(index + 1, output, isNew) else readLine(index)
            lineStart = index + 1
        }
        return if (hasBegun) takeBatch(output) else NOTHING.also { closeGap(output) }
    }

    /** Returns the complete blocks that are still kept because no event has followed them. */
    public fun takeKept(): ByteArray = buffer.copyOf(blockStart).also { dropFirst(blockStart) }

    private fun append(bytes: ByteArray) {
        bytesSinceEvent += bytes.size
        if (size == 0) {
            buffer = bytes
        } else {
            if (size + bytes.size > buffer.size) buffer = buffer.copyOf(maxOf(size + bytes.size, 2 * size))
            bytes.copyInto(buffer, size)
        }
        size += bytes.size
    }

    private fun isEmptyLine(lineFeed: Int): Boolean =
        lineFeed == lineStart || (lineFeed == lineStart + 1 && buffer[lineStart] == CARRIAGE_RETURN)

    private fun readLine(lineFeed: Int) {
        val isId = isField(ID_FIELD, lineFeed)
        if (isId) idLine = lineStart + ID_FIELD.size + 1 until lineFeed
        isEvent = isEvent || isId || isField(DATA_FIELD, lineFeed)
    }

    /** Whether the line up to [lineFeed] is the field [name]. */
    private fun isField(name: ByteArray, lineFeed: Int): Boolean {
        val nameEnd = lineStart + name.size
        return nameEnd < lineFeed && buffer[nameEnd] == COLON && name.indices.all { buffer[lineStart + it] == name[it] }
    }

    /** Moves the block that ends at [end] to the end of [output], unless it is an event that is not new. */
    private fun endBlock(end: Int, output: Output, isNew: (String?) -> Boolean) {
        val id = idLine?.let { String(buffer, it.first, it.last + 1 - it.first, Charsets.ISO_8859_1).trim() }
        if (isEvent) bytesSinceEvent = size - end
        when {
            !isEvent -> output.append(end)
            isNew(id) -> {
                output.append(end)
                output.count++
                output.lastId = id ?: output.lastId
                hasBegun = true
            }
            // What was kept before an event that has been relayed already has been relayed too.
            !hasBegun -> output.end = 0
        }
        blockStart = end
        isEvent = false
        idLine = null
    }

    private fun takeBatch(output: Output): EventBatch {
        if (blockStart == 0) return NOTHING
        val isWhole = output.end == size && size == buffer.size
        val batch = EventBatch(if (isWhole) buffer else buffer.copyOf(output.end), output.count, output.lastId)
        dropFirst(blockStart)
        return batch
    }

    /** Closes the gap that events left out of [output] leave before the incomplete block. */
    private fun closeGap(output: Output) {
        val gap = blockStart - output.end
        if (gap == 0) return
        buffer.copyInto(buffer, output.end, blockStart, size)
        size -= gap
        blockStart -= gap
        lineStart -= gap
        idLine = idLine?.let { it.first - gap..it.last - gap }
    }

    private fun dropFirst(count: Int) {
        buffer = if (count == size) EMPTY else buffer.copyOfRange(count, size)
        size -= count
        blockStart -= count
        lineStart -= count
        idLine = idLine?.let { it.first - count..it.last - count }
    }

    /** The blocks at the front of the buffer, up to [end], that are to be returned. */
    private inner class Output(var end: Int, var count: Int = 0, var lastId: String? = null) {
        /** Appends the block from [blockStart] to [blockEnd]. */
        fun append(blockEnd: Int) {
            if (end != blockStart) buffer.copyInto(buffer, end, blockStart, blockEnd)
            end += blockEnd - blockStart
        }
    }

    private companion object {
        val EMPTY = ByteArray(0)
        val NOTHING = EventBatch(EMPTY, count = 0, lastId = null)
        val ID_FIELD = "id".encodeToByteArray()
        val DATA_FIELD = "data".encodeToByteArray()
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val COLON = ':'.code.toByte()
    }
}
