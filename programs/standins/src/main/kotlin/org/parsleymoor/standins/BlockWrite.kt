package org.parsleymoor.standins

import io.vertx.ext.web.RoutingContext
import org.parsleymoor.core.sha256Hex

/** The headers that go with the bytes of a block. */
internal object BlockHeaders {
    /** SHA-256 of the bytes in lower-case hexadecimal. */
    const val CHECKSUM: String = "Content-Digest"

    /** The size that the block accounts for, in bytes; without it the number of bytes sent. */
    const val DECLARED_BYTES: String = "Block-Bytes"
}

/** A write of a block; a [wantedGeneration] of 0 lets the store choose. */
internal class BlockWrite(
    val piece: String,
    val wantedGeneration: Long,
    val declaredBytes: Long,
    private val content: ByteArray,
) {
    fun block(generation: Long, committed: Boolean): StoredBlock {
        val kept = if (committed) content else content.copyOf(content.size / 2)
        return StoredBlock(generation, declaredBytes, kept, content.sha256Hex(), committed)
    }

    companion object {
        fun of(context: RoutingContext): BlockWrite {
            val content = context.body().buffer()?.bytes ?: ByteArray(0)
            val declared = context.request().getHeader(BlockHeaders.DECLARED_BYTES)?.toLongOrNull()
            val generation = context.request().getParam("generation")?.toLongOrNull() ?: 0
            return BlockWrite(context.pathParam("piece"), generation, declared ?: content.size.toLong(), content)
        }
    }
}
