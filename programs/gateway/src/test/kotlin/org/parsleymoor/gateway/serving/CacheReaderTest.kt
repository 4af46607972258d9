package org.parsleymoor.gateway.serving

import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.parsleymoor.clients.GenerateRequest
import org.parsleymoor.clients.HttpAddress
import org.parsleymoor.clients.VertxEngineClient
import org.parsleymoor.context.CacheReport
import org.parsleymoor.context.DirectoryAction
import org.parsleymoor.core.AttemptId
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.ManualClock
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.OrganisationId
import org.parsleymoor.core.RegionId
import org.parsleymoor.core.RequestId
import org.parsleymoor.core.WeightVersion
import org.parsleymoor.gateway.ConfigurationHolder
import org.parsleymoor.gateway.GatewayHarness
import org.parsleymoor.standins.EngineSettings
import org.parsleymoor.standins.EngineStandIn
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo

class CacheReaderTest {
    private val vertx = Vertx.vertx()
    private val backEnds = BackEndClients(vertx)
    private val holder = ConfigurationHolder()
    private val clock = ManualClock()
    private val reports = FleetReports(holder, FleetState(clock, RegionId("north"), LocalColdStartGuard { 1 }))
    private val second = EndpointId("engine-1")

    @AfterEach
    fun close(): Unit = runBlocking {
        backEnds.close()
        vertx.close().coAwait()
    }

    /** Guards against fetching the snapshot from the reporting engine when the directory requests another engine's. */
    @Test
    fun `a lost snapshot is read from its own engine when another engine reports next`(): Unit = runBlocking {
        val ports = List(2) { EngineStandIn(vertx, EngineSettings(EndpointId("engine-$it"))).start() }
        holder.accept(GatewayHarness.configuration(engines = ports).copy(revision = 1))
        generate(ports[1])
        val gap = CacheReport.Changes(second, startCount = 1, newestSequence = 5, changes = emptyList())
        expectThat(reports.report(gap)).containsExactly(DirectoryAction.FetchSnapshot(second))
        clock.advance(LOST_MILLIS)

        val first = checkNotNull(holder.current?.endpoint(EndpointId("engine-0")))
        CacheReader(holder, backEnds, reports).read(first)

        expectThat(reports.knownBlocks()).isEqualTo(1)
    }

    private suspend fun generate(port: Int) {
        val request = GenerateRequest(
            request = RequestId("request"),
            attempt = AttemptId("attempt"),
            organisation = OrganisationId("tea"),
            model = ModelId("leaf"),
            version = WeightVersion("1"),
            prompt = "one piece",
            pieces = listOf("0".repeat(HASH_DIGITS)),
            maximumTokens = 1,
        )
        VertxEngineClient(vertx, HttpAddress("127.0.0.1", port)).use { it.generate(request).toList() }
    }

    private companion object {
        const val HASH_DIGITS = 32

        // Longer than the snapshot interval and than the time after which a snapshot counts as lost.
        const val LOST_MILLIS = 10_001L
    }
}
