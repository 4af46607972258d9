package org.parsleymoor.context

import kotlinx.serialization.Serializable
import java.nio.ByteBuffer
import java.util.HexFormat

/** The first 16 bytes of a SHA-256 digest that identifies one piece of a prompt. */
@Serializable
public data class PieceHash(public val high: Long, public val low: Long) {
    /** Returns the 32 lower-case hexadecimal digits that the engine and store protocols use. */
    override fun toString(): String = HexFormat.of().toHexDigits(high) + HexFormat.of().toHexDigits(low)

    public companion object {
        /** Size of a hash in bytes. */
        public const val BYTES: Int = 16
        private val pattern = Regex("[0-9a-f]{32}")

        /** Parses 32 lower-case hexadecimal digits; returns null for any other text. */
        public fun parse(text: String): PieceHash? {
            if (!pattern.matches(text)) return null
            val half = text.length / 2
            return PieceHash(text.take(half).toULong(HEX_RADIX).toLong(), text.drop(half).toULong(HEX_RADIX).toLong())
        }

        /** Reads a hash from the first 16 bytes of [digest]; throws [IllegalArgumentException] when it is shorter. */
        public fun of(digest: ByteArray): PieceHash {
            require(digest.size >= BYTES) { "expected a digest of at least $BYTES bytes, got ${digest.size}" }
            val buffer = ByteBuffer.wrap(digest)
            return PieceHash(buffer.getLong(), buffer.getLong())
        }

        private const val HEX_RADIX = 16
    }
}
