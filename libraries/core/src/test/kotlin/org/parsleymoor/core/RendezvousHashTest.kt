package org.parsleymoor.core

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

class RendezvousHashTest {
    private val candidates = (1..9).map { "gateway-$it" }
    private val keys = (1..9_000).map { "key-$it" }

    @Test
    fun `the order does not depend on the order of the candidates`() {
        expectThat(
            rendezvousOrder("key", candidates.reversed()) { it }
        ).isEqualTo(rendezvousOrder("key", candidates) { it })
    }

    @Test
    fun `losing a candidate moves only the keys that it held`() {
        val lost = candidates.first()
        val moved = keys.filter { owner(it, candidates) != owner(it, candidates - lost) }
        expectThat(moved.all { owner(it, candidates) == lost }).isEqualTo(true)
    }

    @Test
    fun `every candidate holds a fair part of the keys`() {
        val smallest = keys.groupingBy { owner(it, candidates) }.eachCount().values.min()
        expectThat(smallest).isGreaterThan(keys.size / candidates.size / 2)
    }

    private fun owner(key: String, among: List<String>): String = rendezvousOrder(key, among) { it }.first()
}
