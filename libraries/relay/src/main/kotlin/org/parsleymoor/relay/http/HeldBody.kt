package org.parsleymoor.relay.http

import org.parsleymoor.relay.limits.HeldBytes

/**
 * A body that is collected in blocks, which are never copied or moved, and counted in an account until it is
 * [released][release]. Not thread-safe.
 */
public class HeldBody(account: HeldBytes) {
    private val holder = account.newHolder()
    private val full = ArrayList<ByteArray>()
    private var last = EMPTY
    private var lastSize = 0

    /** The number of bytes in the body. */
    public var size: Int = 0
        private set

    /** The number of bytes that the body takes of its account. */
    public val heldBytes: Long get() = holder.bytes

    /** Appends [bytes]; returns false if the account has no room for them. */
    public fun append(bytes: ByteArray): Boolean {
        val fitting = minOf(bytes.size, last.size - lastSize)
        val rest = bytes.size - fitting
        val newBlockBytes = if (rest > 0) maxOf(rest, size.coerceAtMost(MAX_SPARE_BYTES)) else 0
        if (newBlockBytes > 0 && !holder.tryResize(holder.bytes + newBlockBytes)) return false
        bytes.copyInto(last, lastSize, endIndex = fitting)
        lastSize += fitting
        if (rest > 0) {
            if (lastSize > 0) full += last
            last = ByteArray(newBlockBytes)
            bytes.copyInto(last, startIndex = fitting)
            lastSize = rest
        }
        size += bytes.size
        return true
    }

    /** Calls [action] with each block in order and the number of its bytes that belong to the body. */
    public inline fun forEachBlock(action: (ByteArray, Int) -> Unit) {
        for (index in 0 until blockCount) action(block(index), blockSize(index))
    }

    /** The number of blocks. */
    public val blockCount: Int get() = full.size + if (lastSize > 0) 1 else 0

    /** Returns the block at [index], whose first [blockSize] bytes belong to the body. */
    public fun block(index: Int): ByteArray = if (index < full.size) full[index] else last

    /** Returns how many bytes of the block at [index] belong to the body. */
    public fun blockSize(index: Int): Int = if (index < full.size) full[index].size else lastSize

    /** Returns a copy of the body as text in UTF-8. */
    public fun decodeToString(): String {
        val bytes = ByteArray(size)
        var offset = 0
        forEachBlock { block, count ->
            block.copyInto(bytes, offset, endIndex = count)
            offset += count
        }
        return bytes.decodeToString()
    }

    /** Drops the body and gives its room back; may be called more than once. */
    public fun release() {
        full.clear()
        last = EMPTY
        lastSize = 0
        size = 0
        holder.release()
    }

    private companion object {
        val EMPTY = ByteArray(0)

        // A block has at most this much room beyond the bytes that it was made for.
        const val MAX_SPARE_BYTES = 16_384
    }
}
