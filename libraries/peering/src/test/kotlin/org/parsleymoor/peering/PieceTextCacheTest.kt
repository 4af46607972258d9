package org.parsleymoor.peering

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

class PieceTextCacheTest {
    private val cache = PieceTextCache(capacityBytes = 30)

    @Test
    fun `the least recently used text is evicted when the capacity is exceeded`() {
        (1L..3L).forEach { cache.put(piece(it)) }
        cache[hash(1)]
        cache.put(piece(4))
        expectThat(cache[hash(1)]).isNotNull()
        expectThat(cache[hash(2)]).isNull()
        expectThat(cache.bytes).isEqualTo(30)
    }

    @Test
    fun `putting the same text twice counts it once`() {
        repeat(2) { cache.put(piece(1)) }
        expectThat(cache.bytes).isEqualTo(10)
    }

    @Test
    fun `joined hashes are split into the same hashes`() {
        val hashes = (1L..3L).map { hash(it) }
        expectThat(TextHash.split(TextHash.join(hashes))).isEqualTo(hashes)
    }

    private fun hash(number: Long) = TextHash(number, -number)

    private fun piece(number: Long) = TextPiece(hash(number), ByteArray(10))
}
