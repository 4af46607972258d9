package org.parsleymoor.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.api.extension.ExtendWith
import org.parsleymoor.clients.HttpAddress
import org.parsleymoor.clients.ListedInstance
import org.parsleymoor.context.PieceHash
import org.parsleymoor.core.Clock
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.OrganisationId
import org.parsleymoor.core.RegionId
import org.parsleymoor.core.ZoneId
import org.parsleymoor.gateway.operations.GatewayMetrics
import org.parsleymoor.gateway.operations.RequestRecords
import org.parsleymoor.gateway.operations.Tracing
import org.parsleymoor.gateway.serving.BackEndClients
import org.parsleymoor.gateway.serving.FleetReports
import org.parsleymoor.gateway.serving.FleetState
import org.parsleymoor.gateway.serving.LocalColdStartGuard
import org.parsleymoor.gateway.serving.ServingDependencies
import org.parsleymoor.gateway.serving.SharedRetention
import org.parsleymoor.gateway.serving.StoreMaintenance
import org.parsleymoor.gateway.serving.StorePoller
import org.parsleymoor.gateway.serving.Telemetry
import org.parsleymoor.placement.RetentionPolicy
import org.parsleymoor.placement.RetentionSettings
import org.parsleymoor.placement.ReturnAwareRetention
import org.parsleymoor.standins.BlockOutcome
import org.parsleymoor.standins.FreePorts
import org.parsleymoor.standins.PlatformSettings
import org.parsleymoor.standins.PlatformStandIn
import org.parsleymoor.standins.StoreFaults
import org.parsleymoor.testing.KnownFailures
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue

@Timeout(60)
@ExtendWith(KnownFailures::class)
class StoreRetentionTest {
    private val harness = GatewayHarness()
    private val fleet = StoreFleet(harness)
    private val prompt = StoreFleet.prompt("season summary")
    private val other = StoreFleet.prompt("another summary")

    @AfterEach
    fun close() = harness.close()

    private suspend fun count(outcome: BlockOutcome): Int = fleet.storeOutcomes().count { it == outcome }

    /** Asks for [prompt] and waits until its blocks are in the store and the gateway knows of [blocks] in all. */
    private suspend fun askAndKeep(prompt: String, blocks: Int) {
        val written = count(BlockOutcome.WRITTEN)
        fleet.ask(prompt)
        harness.eventually { count(BlockOutcome.WRITTEN) == written + StoreFleet.PIECES }
        harness.eventually { fleet.knownBlocks() == blocks }
    }

    @Test
    fun `a context that the engine has evicted comes back from the store`(): Unit = runBlocking {
        fleet.start(prefillMillisPerPiece = SLOW_PREFILL_MILLIS)
        askAndKeep(prompt, blocks = 8)
        askAndKeep(other, blocks = 12)
        val returned = fleet.ask(prompt)
        expectThat(returned.isCorrect).isTrue()
        expectThat(returned.run.cachedPieces).isEqualTo(StoreFleet.PIECES)
        expectThat(fleet.metric("parsleymoor_store_exported_blocks_total")).isEqualTo(2 * StoreFleet.PIECES)
    }

    @Test
    fun `exports to a full store pause and go on when it has room`(): Unit = runBlocking {
        fleet.start()
        fleet.fault(StoreFaults(full = true))
        expectThat(fleet.ask(prompt).isCorrect).isTrue()
        harness.eventually { count(BlockOutcome.REFUSED) > 0 }
        delay(FULL_MILLIS)
        // Without a pause there would be a batch of 4 every half a second.
        expectThat(count(BlockOutcome.REFUSED)).isLessThanOrEqualTo(2 * StoreFleet.PIECES)
        fleet.fault(StoreFaults())
        harness.eventually { count(BlockOutcome.WRITTEN) == StoreFleet.PIECES }
    }

    @Test
    fun `a block that a partial write left without a commit mark is exported again`(): Unit = runBlocking {
        fleet.start(prefillMillisPerPiece = SLOW_PREFILL_MILLIS)
        fleet.fault(StoreFaults(partialWrites = 1))
        askAndKeep(prompt, blocks = 8)
        expectThat(count(BlockOutcome.PARTIAL)).isEqualTo(1)
        askAndKeep(other, blocks = 12)
        val returned = fleet.ask(prompt)
        expectThat(returned.isCorrect).isTrue()
        expectThat(returned.run.cachedPieces).isEqualTo(StoreFleet.PIECES)
    }

    @Test
    fun `blocks on disk are brought to memory before their expected return`(): Unit = runBlocking {
        fleet.start()
        fleet.fill(prompt)
        StoreFleet.pieces(prompt).forEach { fleet.moveToDisk(it) }
        expectThat(fleet.storeMemoryBytes()).isEqualTo(0)
        val scope = CoroutineScope(Dispatchers.Default)
        val settings =
            RetentionSettings(prefetchLeadMillis = LEAD_MILLIS, idlePlanIntervalMillis = 1, planIntervalMillis = 1)
        keeper(scope, ReturnAwareRetention(settings)).run {
            val pieces = StoreFleet.pieces(prompt).mapNotNull { PieceHash.parse(it) }
            retention.used(OrganisationId("tea"), pieces, System.currentTimeMillis())
            scope.launch { run() }
        }
        harness.eventually { fleet.storeMemoryBytes() == 400_000_000L }
        scope.cancel()
    }

    /** A keeper beside the one of the gateway, whose retention expects nothing within half an hour. */
    private fun keeper(scope: CoroutineScope, policy: RetentionPolicy): StoreMaintenance {
        val holder = ConfigurationHolder().also { it.accept(fleet.configuration) }
        val backEnds = BackEndClients(harness.vertx)
        val state = FleetState(Clock.System, RegionId("north"), LocalColdStartGuard { 1 })
        val instance = InstanceId("keeper")
        val tracing = Tracing.of(instance, TracingSettings())
        val telemetry = Telemetry(RequestRecords(instance, Clock.System), GatewayMetrics(), tracing)
        val tools = ServingDependencies(holder, backEnds, telemetry, Clock.System, StreamSettings(), scope)
        scope.launch { StorePoller(holder, backEnds, FleetReports(holder, state), Clock.System).run() }
        return StoreMaintenance(tools, state, { _, _ -> true }, SharedRetention(policy))
    }

    @Test
    fun `a full memory tier makes room on disk and the moved blocks are imported`(): Unit = runBlocking {
        fleet.start(prefillMillisPerPiece = SLOW_PREFILL_MILLIS, store = { it.copy(memoryBytes = 400_000_000) })
        askAndKeep(prompt, blocks = 8)
        harness.eventually { count(BlockOutcome.MOVED) > 0 }
        askAndKeep(other, blocks = 12)
        val returned = fleet.ask(prompt)
        expectThat(returned.isCorrect).isTrue()
        expectThat(returned.run.cachedPieces).isEqualTo(StoreFleet.PIECES)
    }

    @Test
    fun `a store with both tiers full drops blocks and takes new ones`(): Unit = runBlocking {
        fleet.start(store = { it.copy(memoryBytes = 400_000_000, diskBytes = 0) })
        fleet.ask(prompt)
        harness.eventually { count(BlockOutcome.WRITTEN) >= StoreFleet.PIECES }
        harness.eventually { count(BlockOutcome.DELETED) > 0 }
        expectThat(fleet.ask(other).isCorrect).isTrue()
        harness.eventually { count(BlockOutcome.WRITTEN) > StoreFleet.PIECES }
    }

    @Test
    fun `of two gateways one exports the blocks of an engine`(): Unit = runBlocking {
        val ports = FreePorts().take(2)
        val listed = ports.mapIndexed { index, port ->
            ListedInstance(InstanceId("gateway-${index + 1}"), ZoneId("north-1"), "127.0.0.1:$port")
        }
        val platform = PlatformStandIn(harness.vertx, PlatformSettings(instances = listed)).start()
        val settings = { base: GatewaySettings, index: Int ->
            base.copy(
                instance = listed[index].instance,
                platform = HttpAddress("127.0.0.1", platform),
                peers = ListenSettings(port = ports[index]),
            )
        }
        GatewayHarness().use { second ->
            fleet.start(gateway = { settings(it, 0) })
            second.start(fleet.configuration) { settings(it, 1) }
            delay(SETTLE_MILLIS)
            fleet.ask(prompt)
            harness.eventually { count(BlockOutcome.WRITTEN) >= StoreFleet.PIECES }
            delay(SETTLE_MILLIS)
            expectThat(count(BlockOutcome.WRITTEN)).isEqualTo(StoreFleet.PIECES)
            val exporters = listOf(harness, second).map { gateway ->
                gateway.operations("/metrics").bodyAsString().lines()
                    .any { it.startsWith("parsleymoor_store_exported_blocks_total") }
            }
            expectThat(exporters.count { it }).isEqualTo(1)
        }
    }

    private companion object {
        const val FULL_MILLIS = 2_500L
        const val SETTLE_MILLIS = 2_500L

        // Recomputing a block takes four times as long as reading it from disk, so the placement imports every block.
        const val SLOW_PREFILL_MILLIS = 200L

        // Above the mean interval that is assumed for a block with one use.
        const val LEAD_MILLIS = 172_800_000L
    }
}
