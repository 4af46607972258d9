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
    fun `matches the unbroken prefix of each holder`() {
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
    fun `events that arrive again are not applied again`() {
        directory.accept(changes(engine, stored(1, 0), evicted(2, 0)), 0)
        directory.accept(changes(engine, stored(1, 0)), 1)
        expectThat(directory.holds(engine, pieces[0])).isFalse()
    }

    @Test
    fun `a gap asks for a snapshot, which replaces what was known`() {
        directory.accept(changes(engine, stored(1, 0)), 0)
        val actions = directory.accept(changes(engine, stored(5, 1)), 10)
        expectThat(actions).containsExactly(DirectoryAction.FetchSnapshot(engine))
        directory.accept(CacheReport.Snapshot(engine, 1, 6, listOf(block(2))), 20)
        expectThat(directory.holds(engine, pieces[0])).isFalse()
        expectThat(directory.holds(engine, pieces[2])).isTrue()
        expectThat(directory.sequence(engine)).isEqualTo(6)
    }

    @Test
    fun `events lost at the end of the sequence are found by the newest sequence`() {
        directory.accept(changes(engine, stored(1, 0)), 0)
        val actions = directory.accept(CacheReport.Changes(engine, 1, 4, emptyList()), 10)
        expectThat(actions).containsExactly(DirectoryAction.FetchSnapshot(engine))
    }

    @Test
    fun `snapshots are bounded in number and repeated only after their interval`() {
        val many = List(5) { EndpointId("engine-$it") }
        val wanted = many.flatMap { directory.accept(changes(it, stored(7, 0)), 0) }
        expectThat(wanted.size).isEqualTo(2)
        expectThat(directory.tick(9_999).size).isEqualTo(0)
        expectThat(directory.tick(10_000).size).isEqualTo(2)
    }

    @Test
    fun `a snapshot that is older than the events in hand is ignored`() {
        directory.accept(changes(engine, stored(1, 0), stored(2, 1)), 0)
        directory.accept(CacheReport.Snapshot(engine, 1, 1, emptyList()), 5)
        expectThat(directory.holds(engine, pieces[1])).isTrue()
    }

    @Test
    fun `a restart voids what was known and late events of the earlier start change nothing`() {
        directory.accept(changes(engine, stored(1, 0)), 0)
        directory.accept(CacheReport.Changes(engine, 2, 1, listOf(stored(1, 3))), 1)
        directory.accept(changes(engine, stored(2, 1)), 2)
        expectThat(directory.holdersOf(pieces[0])).isEmpty()
        expectThat(directory.holdersOf(pieces[1])).isEmpty()
        expectThat(directory.holdersOf(pieces[3])).containsExactly(engine)
    }

    @Test
    fun `blocks that nobody has confirmed for the maximum age are dropped`() {
        directory.accept(changes(engine, stored(1, 0)), 0)
        directory.accept(changes(store, stored(1, 1)), 600_000)
        directory.tick(1_000_001)
        expectThat(directory.holdersOf(pieces[0])).isEmpty()
        expectThat(directory.holdersOf(pieces[1])).containsExactly(store)
    }

    @Test
    fun `memory stays within the bound by dropping the oldest`() {
        val small = CacheDirectory(CacheDirectorySettings(maximumBlocks = 3))
        (0..5).forEach { small.accept(changes(engine, stored(it + 1L, it)), it.toLong()) }
        expectThat(small.size).isLessThanOrEqualTo(3)
        expectThat(small.holds(engine, pieces[5])).isTrue()
    }

    @Test
    fun `a digest carries recent blocks to another gateway and does not hide a gap there`() {
        directory.accept(changes(engine, stored(1, 0)), 0)
        directory.accept(changes(engine, stored(2, 1)), 100)
        val other = CacheDirectory()
        directory.digest(sinceMillis = 50, maximumBlocks = 10).forEach { other.accept(it, 120) }
        expectThat(other.holdersOf(pieces[1])).containsExactly(engine)
        expectThat(other.holdersOf(pieces[0])).isEmpty()
        expectThat(other.sequence(engine)).isEqualTo(0)
    }

    private fun block(piece: Int) = HeldBlock(pieces[piece], CacheTier.ENGINE)

    private fun stored(sequence: Long, piece: Int) =
        SequencedChange(sequence, CacheChange.Stored(pieces[piece], CacheTier.ENGINE))

    private fun evicted(sequence: Long, piece: Int) = SequencedChange(sequence, CacheChange.Evicted(pieces[piece]))

    private fun changes(source: EndpointId, vararg changes: SequencedChange) =
        CacheReport.Changes(source, 1, changes.last().sequence, changes.toList())
}
