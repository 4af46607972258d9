package org.parsleymoor.peering

/**
 * Returns whether the CBOR data (RFC 8949) in [bytes] has at most [limit] items, counted by their heads alone. A head
 * of one byte becomes an object of many when it is decoded, so that the number of items bounds the memory and the
 * number of bytes does not. What is malformed is left to the decoder.
 */
internal fun hasAtMostCborItems(bytes: ByteArray, limit: Int): Boolean {
    var position = 0L
    var items = 0
    while (position < bytes.size && items <= limit) {
        items++
        val head = bytes[position.toInt()].toInt()
        val majorType = (head and BYTE_MASK) shr ARGUMENT_BITS
        val argument = head and ARGUMENT_MASK
        val argumentBytes = if (argument in FIRST_FOLLOWING..LAST_FOLLOWING) 1 shl (argument - FIRST_FOLLOWING) else 0
        val value = if (argument < FIRST_FOLLOWING) argument.toLong() else bytes.number(position + 1, argumentBytes)
        position += 1 + argumentBytes
        if (majorType == BYTE_STRING || majorType == TEXT_STRING) position += value.coerceIn(0, bytes.size.toLong())
    }
    return items <= limit
}

/** Reads [count] bytes at [position] as a number; those beyond the end count as 0. */
private fun ByteArray.number(position: Long, count: Int): Long {
    var value = 0L
    for (index in position until position + count) {
        val byte = if (index < size) this[index.toInt()].toInt() and BYTE_MASK else 0
        value = (value shl Byte.SIZE_BITS) or byte.toLong()
    }
    return value
}

private const val BYTE_MASK = 0xFF
private const val ARGUMENT_BITS = 5
private const val ARGUMENT_MASK = 0x1F

// The argument of a head is in the next 1, 2, 4 or 8 bytes for these values.
private const val FIRST_FOLLOWING = 24
private const val LAST_FOLLOWING = 27

// The major types whose content follows their head.
private const val BYTE_STRING = 2
private const val TEXT_STRING = 3
