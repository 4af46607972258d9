package org.parsleymoor.peering

/**
 * Texts of prompt pieces by hash, least recently used first out, at most [capacityBytes] in all. Safe for use from
 * several threads.
 */
public class PieceTextCache(private val capacityBytes: Long) {
    private val texts = LinkedHashMap<TextHash, ByteArray>(INITIAL_CAPACITY, LOAD_FACTOR, true)
    private var heldBytes = 0L

    /** Bytes of text held. */
    public val bytes: Long get() = synchronized(texts) { heldBytes }

    /** Returns the text with this [hash], or null when it is not held. */
    public operator fun get(hash: TextHash): ByteArray? = synchronized(texts) { texts[hash] }

    /** Keeps [piece] and drops the least recently used ones beyond the capacity. */
    public fun put(piece: TextPiece) {
        synchronized(texts) {
            heldBytes += piece.text.size - (texts.put(piece.hash, piece.text)?.size ?: 0)
            val eldest = texts.entries.iterator()
            while (heldBytes > capacityBytes && eldest.hasNext()) {
                heldBytes -= eldest.next().value.size
                eldest.remove()
            }
        }
    }

    private companion object {
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
