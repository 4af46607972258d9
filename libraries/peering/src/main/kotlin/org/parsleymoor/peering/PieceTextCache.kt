package org.parsleymoor.peering

/** LRU cache for the texts of prompt pieces, by hash; holds at most [capacityBytes] of text. Thread-safe. */
public class PieceTextCache(private val capacityBytes: Long) {
    private val texts = LinkedHashMap<TextHash, ByteArray>(INITIAL_CAPACITY, LOAD_FACTOR, true)
    private var cachedBytes = 0L

    /** Total size of the cached texts. */
    public val bytes: Long get() = synchronized(texts) { cachedBytes }

    /** Returns the text with this [hash], or null if it is not cached. */
    public operator fun get(hash: TextHash): ByteArray? = synchronized(texts) { texts[hash] }

    /** Adds [piece] and evicts the least recently used pieces until the cache is within its capacity. */
    public fun put(piece: TextPiece) {
        synchronized(texts) {
            cachedBytes += piece.text.size - (texts.put(piece.hash, piece.text)?.size ?: 0)
            val eldest = texts.entries.iterator()
            while (cachedBytes > capacityBytes && eldest.hasNext()) {
                cachedBytes -= eldest.next().value.size
                eldest.remove()
            }
        }
    }

    private companion object {
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
