package org.parsleymoor.context

/** The fields of each block, stored column by column in parallel arrays that take 35 bytes per row. */
internal class BlockColumns(capacity: Int) {
    private var high = LongArray(capacity)
    private var low = LongArray(capacity)
    private var generations = LongArray(capacity)
    private var confirmed = LongArray(capacity)
    private var sources = ShortArray(capacity)
    private var tiers = ByteArray(capacity)

    fun source(row: Int): Int = sources[row].toInt() and SOURCE_MASK

    fun confirmedMillis(row: Int): Long = confirmed[row]

    fun block(row: Int) =
        HeldBlock(PieceHash(high[row], low[row]), TIERS[tiers[row].toInt()], generations[row])

    fun hasPiece(row: Int, piece: PieceHash): Boolean = high[row] == piece.high && low[row] == piece.low

    fun setKey(row: Int, source: Int, piece: PieceHash) {
        high[row] = piece.high
        low[row] = piece.low
        sources[row] = source.toShort()
    }

    fun confirm(row: Int, block: HeldBlock, nowMillis: Long) {
        tiers[row] = block.tier.ordinal.toByte()
        generations[row] = block.generation
        confirmed[row] = nowMillis
    }

    fun hash(row: Int): Int = hash(high[row], low[row])

    fun grow(capacity: Int) {
        high = high.copyOf(capacity)
        low = low.copyOf(capacity)
        generations = generations.copyOf(capacity)
        confirmed = confirmed.copyOf(capacity)
        sources = sources.copyOf(capacity)
        tiers = tiers.copyOf(capacity)
    }

    companion object {
        private const val SOURCE_MASK = 0xFFFF
        private const val MULTIPLIER = -7_046_029_254_386_353_131L
        private const val HASH_SHIFT = 32
        private val TIERS = CacheTier.entries

        /** Mixes the bits, because callers may use small numbers instead of parts of a SHA-256 digest. */
        fun hash(high: Long, low: Long): Int = ((low * MULTIPLIER + high) * MULTIPLIER ushr HASH_SHIFT).toInt()
    }
}
