package org.parsleymoor.peering

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

class PieceTextCacheTest {
    private val store = PieceTextCache(capacityBytes = 30)

    @Test
    fun `the least recently used text is dropped beyond the capacity`() {
        (1L..3L).forEach { store.put(piece(it)) }
        store[hash(1)]
        store.put(piece(4))
        expectThat(store[hash(1)]).isNotNull()
        expectThat(store[hash(2)]).isNull()
        expectThat(store.bytes).isEqualTo(30)
    }

    @Test
    fun `putting the same text twice counts it once`() {
        repeat(2) { store.put(piece(1)) }
        expectThat(store.bytes).isEqualTo(10)
    }

    @Test
    fun `joined hashes are split into the same hashes`() {
        val hashes = (1L..3L).map { hash(it) }
        expectThat(TextHash.split(TextHash.join(hashes))).isEqualTo(hashes)
    }

    private fun hash(number: Long) = TextHash(number, -number)

    private fun piece(number: Long) = TextPiece(hash(number), ByteArray(10))
}
