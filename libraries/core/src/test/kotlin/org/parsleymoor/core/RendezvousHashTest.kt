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
    fun `removing a candidate reassigns only the keys that it owned`() {
        val removed = candidates.first()
        val moved = keys.filter { owner(it, candidates) != owner(it, candidates - removed) }
        expectThat(moved.all { owner(it, candidates) == removed }).isEqualTo(true)
    }

    @Test
    fun `every candidate owns a fair share of the keys`() {
        val smallest = keys.groupingBy { owner(it, candidates) }.eachCount().values.min()
        expectThat(smallest).isGreaterThan(keys.size / candidates.size / 2)
    }

    private fun owner(key: String, among: List<String>): String = rendezvousOrder(key, among) { it }.first()
}
