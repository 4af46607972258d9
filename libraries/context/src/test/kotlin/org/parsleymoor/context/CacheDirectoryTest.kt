package org.parsleymoor.context

import org.junit.jupiter.api.Test
import org.parsleymoor.core.EndpointId
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue

class CacheDirectoryTest {
    private val engine = EndpointId("engine-1")
    private val store = EndpointId("store-1")
    private val pieces = List(6) { PieceHash(1, it.toLong()) }
    private val directory = CacheDirectory(CacheDirectorySettings(maximumAgeMillis = 1_000_000))

    @Test
    fun `matches the prefix without a gap at each holder`() {
        directory.accept(changes(engine, stored(1, 0), stored(2, 1), stored(3, 3)), 0)
        directory.accept(changes(store, stored(1, 0), stored(2, 1), stored(3, 2)), 0)
        expectThat(directory.match(pieces).associate { it.endpoint.value to it.pieces })
            .isEqualTo(mapOf("engine-1" to 2, "store-1" to 3))
    }

    @Test
    fun `an evicted block ends the prefix`() {
        directory.accept(changes(engine, stored(1, 0), stored(2, 1), evicted(3, 0)), 0)
        expectThat(directory.match(pieces)).isEmpty()
    }

    @Test
    fun `duplicate events are not applied again`() {
        directory.accept(changes(engine, stored(1, 0), evicted(2, 0)), 0)
        directory.accept(changes(engine, stored(1, 0)), 1)
        expectThat(directory.holds(engine, pieces[0])).isFalse()
    }

    @Test
    fun `a gap requests a snapshot, which replaces the known blocks`() {
        directory.accept(changes(engine, stored(1, 0)), 0)
        val actions = directory.accept(changes(engine, stored(5, 1)), 10)
        expectThat(actions).containsExactly(DirectoryAction.FetchSnapshot(engine))
        directory.accept(CacheReport.Snapshot(engine, 1, 6, listOf(block(2))), 20)
        expectThat(directory.holds(engine, pieces[0])).isFalse()
        expectThat(directory.holds(engine, pieces[2])).isTrue()
        expectThat(directory.sequence(engine)).isEqualTo(6)
    }

    @Test
    fun `the newest sequence reveals events lost at the end`() {
        directory.accept(changes(engine, stored(1, 0)), 0)
        val actions = directory.accept(CacheReport.Changes(engine, 1, 4, emptyList()), 10)
        expectThat(actions).containsExactly(DirectoryAction.FetchSnapshot(engine))
    }

    @Test
    fun `concurrent snapshots are limited and repeated only after a delay`() {
        val engines = List(5) { EndpointId("engine-$it") }
        val actions = engines.flatMap { directory.accept(changes(it, stored(7, 0)), 0) }
        expectThat(actions.size).isEqualTo(2)
        expectThat(directory.tick(9_999).size).isEqualTo(0)
        expectThat(directory.tick(10_000).size).isEqualTo(2)
    }

    @Test
    fun `a snapshot older than the received events is ignored`() {
        directory.accept(changes(engine, stored(1, 0), stored(2, 1)), 0)
        directory.accept(CacheReport.Snapshot(engine, 1, 1, emptyList()), 5)
        expectThat(directory.holds(engine, pieces[1])).isTrue()
    }

    @Test
    fun `a restart clears the known blocks and late events of the earlier start are ignored`() {
        directory.accept(changes(engine, stored(1, 0)), 0)
        directory.accept(CacheReport.Changes(engine, 2, 1, listOf(stored(1, 3))), 1)
        directory.accept(changes(engine, stored(2, 1)), 2)
        expectThat(directory.holdersOf(pieces[0])).isEmpty()
        expectThat(directory.holdersOf(pieces[1])).isEmpty()
        expectThat(directory.holdersOf(pieces[3])).containsExactly(engine)
    }

    @Test
    fun `blocks not confirmed for the maximum age are removed`() {
        directory.accept(changes(engine, stored(1, 0)), 0)
        directory.accept(changes(store, stored(1, 1)), 600_000)
        directory.tick(1_000_001)
        expectThat(directory.holdersOf(pieces[0])).isEmpty()
        expectThat(directory.holdersOf(pieces[1])).containsExactly(store)
    }

    @Test
    fun `the oldest blocks are removed beyond the maximum number`() {
        val bounded = CacheDirectory(CacheDirectorySettings(maximumBlocks = 3))
        (0..5).forEach { bounded.accept(changes(engine, stored(it + 1L, it)), it.toLong()) }
        expectThat(bounded.size).isLessThanOrEqualTo(3)
        expectThat(bounded.holds(engine, pieces[5])).isTrue()
    }

    @Test
    fun `a digest passes recent blocks to another gateway and does not hide a gap there`() {
        directory.accept(changes(engine, stored(1, 0)), 0)
        directory.accept(changes(engine, stored(2, 1)), 100)
        val otherGateway = CacheDirectory()
        directory.digest(sinceMillis = 50, maximumBlocks = 10).forEach { otherGateway.accept(it, 120) }
        expectThat(otherGateway.holdersOf(pieces[1])).containsExactly(engine)
        expectThat(otherGateway.holdersOf(pieces[0])).isEmpty()
        expectThat(otherGateway.sequence(engine)).isEqualTo(0)
    }

    private fun block(piece: Int) = HeldBlock(pieces[piece], CacheTier.ENGINE)

    private fun stored(sequence: Long, piece: Int) =
        SequencedChange(sequence, CacheChange.Stored(pieces[piece], CacheTier.ENGINE))

    private fun evicted(sequence: Long, piece: Int) = SequencedChange(sequence, CacheChange.Evicted(pieces[piece]))

    private fun changes(source: EndpointId, vararg changes: SequencedChange) =
        CacheReport.Changes(source, 1, changes.last().sequence, changes.toList())
}
