package org.parsleymoor.peering

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray
import java.nio.ByteBuffer

/** The first 16 bytes of the salted SHA-256 digest of a piece of prompt text. */
@OptIn(ExperimentalSerializationApi::class)
@CborArray
@Serializable
public data class TextHash(public val high: Long, public val low: Long) {
    public companion object {
        /** Size of a hash in bytes. */
        public const val BYTES: Int = 16

        /** Reads a hash from the first [BYTES] bytes of [digest]; throws when it is shorter. */
        public fun of(digest: ByteArray): TextHash = ByteBuffer.wrap(
            digest
        ).let { TextHash(it.getLong(), it.getLong()) }

        /** Concatenates the bytes of [hashes] in order. */
        public fun join(hashes: List<TextHash>): ByteArray {
            val joined = ByteBuffer.allocate(hashes.size * BYTES)
            hashes.forEach { joined.putLong(it.high).putLong(it.low) }
            return joined.array()
        }

        /** Reverses [join]; trailing bytes that do not make up a whole hash are ignored. */
        public fun split(joined: ByteArray): List<TextHash> {
            val buffer = ByteBuffer.wrap(joined)
            return List(joined.size / BYTES) { TextHash(buffer.getLong(), buffer.getLong()) }
        }
    }
}
