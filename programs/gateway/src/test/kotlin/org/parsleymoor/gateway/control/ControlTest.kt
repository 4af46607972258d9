package org.parsleymoor.gateway.control

import com.github.michaelbull.result.get
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.parsleymoor.clients.ConfigurationOffer
import org.parsleymoor.clients.HttpAddress
import org.parsleymoor.clients.ListedInstance
import org.parsleymoor.clients.LoadedVersion
import org.parsleymoor.clients.WireJson
import org.parsleymoor.configuration.Configuration
import org.parsleymoor.configuration.EndpointDeclaration
import org.parsleymoor.configuration.EndpointKind
import org.parsleymoor.configuration.LimitsDeclaration
import org.parsleymoor.configuration.ModelDeclaration
import org.parsleymoor.configuration.OrganisationDeclaration
import org.parsleymoor.configuration.ZoneDeclaration
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.OrganisationId
import org.parsleymoor.core.RegionId
import org.parsleymoor.core.WeightVersion
import org.parsleymoor.core.ZoneId
import org.parsleymoor.core.sha256Hex
import org.parsleymoor.gateway.Gateway
import org.parsleymoor.gateway.GatewayHarness
import org.parsleymoor.gateway.GatewayPorts
import org.parsleymoor.gateway.GatewaySettings
import org.parsleymoor.gateway.ListenSettings
import org.parsleymoor.gateway.offerOf
import org.parsleymoor.gateway.publish
import org.parsleymoor.standins.ColdOverload
import org.parsleymoor.standins.EngineSettings
import org.parsleymoor.standins.EngineStandIn
import org.parsleymoor.standins.FreePorts
import org.parsleymoor.standins.ModelText
import org.parsleymoor.standins.PlatformFaults
import org.parsleymoor.standins.PlatformSettings
import org.parsleymoor.standins.PlatformStandIn
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotEqualTo

/** Two gateways and a platform in this process, over real connections. */
class ControlTest {
    private val vertx = Vertx.vertx()
    private val client = WebClient.create(vertx)
    private val peerPorts = FreePorts().take(2)
    private val gateways = mutableListOf<Gateway>()

    @AfterEach
    fun close(): Unit = runBlocking {
        gateways.forEach { it.stop() }
        vertx.close().coAwait()
    }

    /** Guards against two servers that share a random port, so that callers of one gateway reach the other. */
    @Test
    fun `gateways of one process listen on different ports`(): Unit = runBlocking {
        val platform = startPlatform()
        val (first, second) = startGateways(platform)
        expectThat(first.callers).isNotEqualTo(second.callers)
        expectThat(first.operations).isNotEqualTo(second.operations)
    }

    @Test
    fun `a change submitted to one gateway reaches the other while the platform is down`(): Unit = runBlocking {
        val platform = startPlatform()
        publish(vertx, platform, configuration(revision = 1, engines = emptyList()))
        val (first, second) = startGateways(platform)
        eventually { revision(first) == 1L && revision(second) == 1L }
        setFaults(platform, PlatformFaults(down = true))
        submit(first, configuration(revision = 2, engines = emptyList()))
        eventually { revision(second) == 2L }
        submit(first, configuration(revision = 1, engines = emptyList()))
        expectThat(revision(first)).isEqualTo(2)
    }

    @Test
    fun `a gateway that starts while the platform is down gets its configuration from a peer`(): Unit = runBlocking {
        val platform = startPlatform()
        publish(vertx, platform, configuration(revision = 1, engines = emptyList()))
        val first = startGateway(0, platform)
        eventually { revision(first) == 1L }
        val second = startGateway(1, platform)
        eventually { revision(second) == 1L }
        setFaults(platform, PlatformFaults(down = true))
        gateways.removeAt(1).stop()
        val restarted = startGateway(1, platform)
        eventually { revision(restarted) == 1L }
    }

    @Test
    fun `a completion for an engine of another region goes through the gateway there`(): Unit = runBlocking {
        val platform = startPlatform()
        val engine = startEngine()
        publish(vertx, platform, configuration(revision = 1, engines = listOf(engine), zone = "south-1"))
        val (first, second) = startGateways(platform)
        eventually { revision(first) == 1L && revision(second) == 1L }
        delay(SETTLE_MILLIS)
        val answer = post(first.callers, "/v1/chat/completions", GatewayHarness.chat())
        expectThat(answer).contains(ModelText.answer("leaf", "user: weigh this", 8))
        val metrics = get(first.operations, "/metrics").lines()
        val sent = metrics.filter { it.startsWith("parsleymoor_region_link_bytes_total") }
        expectThat(sent.sumOf { it.substringAfterLast(' ').toDouble() }).isGreaterThan(0.0)
    }

    @Test
    fun `two gateways together stay within the limit of a cold engine`(): Unit = runBlocking {
        val platform = startPlatform()
        val engine = startEngine(cold = true)
        val limits = LimitsDeclaration(coldLimit = 1, requestDeadlineMillis = 3_000)
        publish(vertx, platform, configuration(revision = 1, engines = listOf(engine), limits = limits))
        val (first, second) = startGateways(platform)
        eventually { revision(first) == 1L && revision(second) == 1L }
        eventually { expected in ask(first) || expected in ask(second) }
        val answers = List(24) { async { ask(listOf(first, second)[it % 2]) } }.awaitAll()
        expectThat(answers.count { expected in it }).isGreaterThan(0)
        expectThat(get(engine, "/v1/load")).contains("\"startCount\":1,")
    }

    private val expected = ModelText.answer("leaf", "user: weigh this", 8)

    private suspend fun ask(gateway: GatewayPorts): String =
        post(gateway.callers, "/v1/chat/completions", GatewayHarness.chat())

    private suspend fun startPlatform(): Int = PlatformStandIn(
        vertx,
        PlatformSettings(
            instances = listOf("north-1", "south-1").mapIndexed { index, zone ->
                ListedInstance(InstanceId("gateway-$index"), ZoneId(zone), "127.0.0.1:${peerPorts[index]}")
            },
        ),
    ).start()

    private suspend fun startEngine(cold: Boolean = false): Int =
        EngineStandIn(
            vertx,
            EngineSettings(
                EndpointId("engine-0"),
                models = listOf(LoadedVersion(ModelId("leaf"), WeightVersion("1"))),
                startsCold = cold,
                coldLimit = 1,
                coldOverload = ColdOverload.FALL_OVER,
            ),
        ).start()

    private suspend fun startGateways(platform: Int): Pair<GatewayPorts, GatewayPorts> =
        startGateway(0, platform) to startGateway(1, platform)

    private suspend fun startGateway(index: Int, platform: Int): GatewayPorts {
        val region = listOf("north", "south")[index]
        val settings = GatewaySettings(
            InstanceId("gateway-$index"),
            ZoneId("$region-1"),
            RegionId(region),
            peers = ListenSettings(port = peerPorts[index]),
            platform = HttpAddress("127.0.0.1", platform),
        )
        return Gateway(vertx, settings).also { gateways += it }.start()
    }

    private suspend fun submit(gateway: GatewayPorts, configuration: Configuration) {
        val body = WireJson.encodeToString(ConfigurationOffer.serializer(), offerOf(configuration))
        post(gateway.operations, "/configuration", body)
    }

    private suspend fun revision(gateway: GatewayPorts): Long =
        Regex("\"revision\":(\\d+)").find(get(gateway.operations, "/status"))?.groupValues?.get(1)?.toLong() ?: 0

    private suspend fun setFaults(platform: Int, faults: PlatformFaults) {
        post(platform, "/faults", WireJson.encodeToString(PlatformFaults.serializer(), faults))
    }

    private suspend fun get(port: Int, path: String): String =
        client.get(port, "127.0.0.1", path).send().coAwait().bodyAsString()

    private suspend fun post(port: Int, path: String, body: String): String =
        client.post(port, "127.0.0.1", path).putHeader("Authorization", "Bearer ${GatewayHarness.KEY}")
            .sendBuffer(Buffer.buffer(body)).coAwait().bodyAsString().orEmpty()

    private suspend fun eventually(condition: suspend () -> Boolean) {
        withTimeout(LIMIT_MILLIS) { while (!condition()) delay(POLL_MILLIS) }
    }

    private fun configuration(
        revision: Long,
        engines: List<Int>,
        zone: String = "north-1",
        limits: LimitsDeclaration = LimitsDeclaration(),
    ) = Configuration(
        revision = revision,
        zones = listOf("north", "south").map { ZoneDeclaration(ZoneId("$it-1"), RegionId(it)) },
        endpoints = engines.mapIndexed { index, port ->
            EndpointDeclaration(EndpointId("engine-$index"), EndpointKind.ENGINE, "127.0.0.1:$port", ZoneId(zone))
        },
        organisations = listOf(
            OrganisationDeclaration(OrganisationId("tea"), listOf(GatewayHarness.KEY.toByteArray().sha256Hex()))
        ),
        models = listOf(ModelDeclaration(ModelId("leaf"), WeightVersion("1"))),
        limits = limits,
    )

    private companion object {
        const val LIMIT_MILLIS = 20_000L
        const val POLL_MILLIS = 20L
        const val SETTLE_MILLIS = 2_500L
    }
}
