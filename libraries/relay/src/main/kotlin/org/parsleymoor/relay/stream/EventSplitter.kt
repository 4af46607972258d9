package org.parsleymoor.relay.stream

/** A complete server-sent event, including the empty line that ends it; [id] is null when the event has none. */
public class StreamEvent(public val bytes: ByteArray, public val id: String?)

/**
 * Splits the bytes of an event stream into complete events, so that a caller never receives a partial event. Not
 * thread-safe.
 */
public class EventSplitter {
    private var pending = ByteArray(0)
    private var pendingLineStart = 0

    /** The number of bytes of the event that is still incomplete. */
    public val pendingBytes: Int get() = pending.size

    /** Appends [bytes] and returns the events that they complete. */
    public fun add(bytes: ByteArray): List<StreamEvent> {
        val all = if (pending.isEmpty()) bytes else pending + bytes
        val events = ArrayList<StreamEvent>()
        var start = 0
        var lineStart = pendingLineStart
        for (index in pending.size until all.size) {
            if (all[index] != LINE_FEED) continue
            if (isEmptyLine(all, lineStart, index)) {
                events += event(all.copyOfRange(start, index + 1))
                start = index + 1
            }
            lineStart = index + 1
        }
        pending = all.copyOfRange(start, all.size)
        pendingLineStart = lineStart - start
        return events
    }

    private fun isEmptyLine(bytes: ByteArray, from: Int, lineFeed: Int): Boolean =
        lineFeed == from || (lineFeed == from + 1 && bytes[from] == CARRIAGE_RETURN)

    private fun event(bytes: ByteArray): StreamEvent {
        val line = String(bytes, Charsets.ISO_8859_1).lineSequence().lastOrNull { it.startsWith(ID_FIELD) }
        return StreamEvent(bytes, line?.removePrefix(ID_FIELD)?.trim())
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"
    }
}
