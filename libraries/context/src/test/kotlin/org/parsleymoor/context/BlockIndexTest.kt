package org.parsleymoor.context

import org.junit.jupiter.api.Test
import org.parsleymoor.core.EndpointId
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.random.Random

class BlockIndexTest {
    @Test
    fun `random operations leave the same blocks as in a reference map`() {
        val random = Random(seed = 7)
        val index = BlockIndex()
        val expected = LinkedHashMap<Pair<EndpointId, PieceHash>, Long>()
        repeat(200_000) { step ->
            val source = EndpointId("cache-${random.nextInt(5)}")
            val piece = PieceHash(random.nextLong(40), random.nextLong(40))
            val roll = random.nextInt(1_000)
            when {
                roll < 600 -> {
                    index.put(source, HeldBlock(piece, CacheTier.ENGINE, step.toLong()), step.toLong())
                    expected.remove(source to piece)
                    expected[source to piece] = step.toLong()
                }
                roll < 996 -> {
                    index.remove(source, piece)
                    expected.remove(source to piece)
                }
                roll < 998 -> {
                    index.dropSource(source)
                    expected.keys.removeIf { it.first == source }
                }
                else -> {
                    index.trim(step - 3_000L, 1_500)
                    expected.values.removeIf { it < step - 3_000L }
                    while (expected.size > 1_500) expected.remove(expected.keys.first())
                }
            }
        }
        val found = index.confirmedSince(0).toList().asReversed()
        expectThat(index.size).isEqualTo(expected.size)
        expectThat(found.map { Triple(it.endpoint, it.block.piece, it.block.generation) })
            .isEqualTo(expected.map { (key, generation) -> Triple(key.first, key.second, generation) })
        expected.forEach { (key, generation) ->
            expectThat(index.find(key.first, key.second)?.generation).isEqualTo(generation)
        }
    }

    @Test
    fun `the number of a removed source is reused for another`() {
        val index = BlockIndex()
        val piece = PieceHash(1, 1)
        index.put(EndpointId("gone"), HeldBlock(piece, CacheTier.ENGINE), 0)
        index.dropSource(EndpointId("gone"))
        index.put(EndpointId("new"), HeldBlock(piece, CacheTier.STORE_DISK), 1)
        expectThat(index.holders(piece)).isEqualTo(listOf(EndpointId("new")))
    }
}
