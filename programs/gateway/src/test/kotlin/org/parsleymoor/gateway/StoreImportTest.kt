package org.parsleymoor.gateway

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import org.parsleymoor.clients.RequestStepKind
import org.parsleymoor.standins.BlockOutcome
import org.parsleymoor.standins.StoreFaults
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.doesNotContain
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

@Timeout(40)
class StoreImportTest {
    private val harness = GatewayHarness()
    private val fleet = StoreFleet(harness)
    private val prompt = StoreFleet.prompt("season summary")
    private val pieces = StoreFleet.pieces(prompt)

    @AfterEach
    fun close() = harness.close()

    /** Long enough that a change of a block reaches the gateway only after the request that it is to mislead. */
    private suspend fun startWithLateEvents() = fleet.start(store = { it.copy(eventLagMillis = 1_500) })

    private suspend fun expectRecomputed(outcome: BlockOutcome, cachedPieces: Int) {
        val answer = fleet.ask(prompt)
        expectThat(answer.isCorrect).isTrue()
        expectThat(answer.run.cachedPieces).isEqualTo(cachedPieces)
        expectThat(fleet.storeOutcomes()).contains(outcome)
        expectThat(fleet.metric("parsleymoor_store_import_failed_blocks_total{reason=\"block\"}")).isEqualTo(1)
    }

    @Test
    fun `blocks of a store are imported and the engine recomputes none of them`(): Unit = runBlocking {
        fleet.start()
        fleet.fill(prompt)
        val answer = fleet.ask(prompt)
        expectThat(answer.isCorrect).isTrue()
        expectThat(answer.run.cachedPieces).isEqualTo(StoreFleet.PIECES)
        expectThat(answer.steps).contains(RequestStepKind.IMPORTED)
        expectThat(fleet.metric("parsleymoor_store_imported_blocks_total")).isEqualTo(StoreFleet.PIECES)
        expectThat(fleet.metric("parsleymoor_store_imported_bytes_total")).isEqualTo(400_000_000)
    }

    @Test
    fun `a torn block is recomputed with those after it`(): Unit = runBlocking {
        fleet.start()
        fleet.fill(prompt)
        fleet.fault(StoreFaults(tornReads = 1))
        expectRecomputed(BlockOutcome.READ, cachedPieces = 0)
    }

    @Test
    fun `a freed block that a late event still offers is recomputed`(): Unit = runBlocking {
        startWithLateEvents()
        fleet.fill(prompt)
        fleet.free(pieces[2])
        expectRecomputed(BlockOutcome.ABSENT, cachedPieces = 2)
    }

    @Test
    fun `a block that was overwritten in part is recomputed`(): Unit = runBlocking {
        startWithLateEvents()
        fleet.fill(prompt)
        fleet.fault(StoreFaults(partialWrites = 1))
        fleet.write(pieces[1])
        expectRecomputed(BlockOutcome.NOT_COMMITTED, cachedPieces = 1)
    }

    @Test
    fun `a block whose place was reused under another generation is recomputed`(): Unit = runBlocking {
        startWithLateEvents()
        fleet.fill(prompt)
        fleet.write(pieces[3], generation = 2)
        expectRecomputed(BlockOutcome.STALE_GENERATION, cachedPieces = 3)
    }

    @Test
    fun `a wrong hint is dropped after one failure`(): Unit = runBlocking {
        startWithLateEvents()
        fleet.fill(prompt)
        fleet.free(pieces[0])
        fleet.ask(prompt)
        fleet.ask(StoreFleet.prompt("evicts the engine's blocks"))
        fleet.ask(prompt)
        expectThat(fleet.storeOutcomes().count { it == BlockOutcome.ABSENT }).isEqualTo(1)
    }

    @Test
    fun `a store that is down costs the caller nothing but time`(): Unit = runBlocking {
        fleet.start()
        fleet.fill(prompt)
        fleet.fault(StoreFaults(down = true))
        val answer = fleet.ask(prompt)
        expectThat(answer.isCorrect).isTrue()
        expectThat(answer.run.cachedPieces).isEqualTo(0)
        expectThat(answer.steps).contains(RequestStepKind.IMPORT_FAILED)
    }

    @Test
    fun `an import from a silent store is dropped at its deadline`(): Unit = runBlocking {
        fleet.start()
        fleet.fill(prompt)
        fleet.fault(StoreFaults(silent = true))
        val answer = fleet.ask(prompt)
        expectThat(answer.isCorrect).isTrue()
        expectThat(answer.steps).contains(RequestStepKind.IMPORT_FAILED)
        expectThat(fleet.metric("parsleymoor_store_import_failed_blocks_total{reason=\"deadline\"}"))
            .isEqualTo(StoreFleet.PIECES)
    }

    @Test
    fun `a store that is slow past the deadline is not asked again at once`(): Unit = runBlocking {
        fleet.start()
        val other = StoreFleet.prompt("another summary")
        fleet.fill(prompt)
        fleet.fill(other)
        fleet.fault(StoreFaults(slowdown = 1_000))
        val first = fleet.ask(prompt)
        val second = fleet.ask(other)
        expectThat(listOf(first, second).all { it.isCorrect }).isTrue()
        expectThat(first.steps).contains(RequestStepKind.IMPORT_FAILED)
        expectThat(second.steps).doesNotContain(RequestStepKind.IMPORT_FAILED, RequestStepKind.IMPORTED)
    }

    @Test
    fun `an engine that is known to recompute faster than the store delivers imports nothing`(): Unit = runBlocking {
        fleet.start(prefillMillisPerPiece = 1)
        fleet.fill(prompt)
        repeat(LEARNING_REQUESTS) { fleet.ask(StoreFleet.prompt("request $it")) }
        val answer = fleet.ask(prompt)
        expectThat(answer.isCorrect).isTrue()
        expectThat(answer.steps).doesNotContain(RequestStepKind.IMPORTED, RequestStepKind.IMPORT_FAILED)
    }

    @Test
    fun `an engine whose rate is not known yet imports`(): Unit = runBlocking {
        fleet.start(prefillMillisPerPiece = 1)
        fleet.fill(prompt)
        expectThat(fleet.ask(prompt).steps).contains(RequestStepKind.IMPORTED)
    }

    private companion object {
        const val LEARNING_REQUESTS = 12
    }
}
