package org.parsleymoor.gateway.control

import com.github.michaelbull.result.get
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.builtins.ListSerializer
import org.parsleymoor.clients.GatewayStatus
import org.parsleymoor.clients.HttpAddress
import org.parsleymoor.clients.ListedInstance
import org.parsleymoor.clients.LoadedVersion
import org.parsleymoor.clients.WireJson
import org.parsleymoor.configuration.Configuration
import org.parsleymoor.core.Clock
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.RegionId
import org.parsleymoor.core.WeightVersion
import org.parsleymoor.core.ZoneId
import org.parsleymoor.gateway.Gateway
import org.parsleymoor.gateway.GatewayHarness
import org.parsleymoor.gateway.GatewayPorts
import org.parsleymoor.gateway.GatewaySettings
import org.parsleymoor.gateway.ListenSettings
import org.parsleymoor.gateway.OrderLeaseSettings
import org.parsleymoor.gateway.publish
import org.parsleymoor.standins.EngineFaults
import org.parsleymoor.standins.EngineRun
import org.parsleymoor.standins.EngineSettings
import org.parsleymoor.standins.EngineStandIn
import org.parsleymoor.standins.Fencing
import org.parsleymoor.standins.FreePorts
import org.parsleymoor.standins.OrderRun
import org.parsleymoor.standins.PlatformFaults
import org.parsleymoor.standins.PlatformSettings
import org.parsleymoor.standins.PlatformStandIn
import java.util.concurrent.atomic.AtomicLong

/** Two gateways, each with its own Vert.x instance and clock, a platform, and engines with weight version 1. */
internal class RolloutHarness : AutoCloseable {
    private val vertx = Vertx.vertx()
    private val gatewayVertx = List(GATEWAYS) { Vertx.vertx() }
    private val client = WebClient.create(vertx)
    private val peerPorts = FreePorts().take(GATEWAYS)
    private val clockOffsets = List(GATEWAYS) { AtomicLong() }
    private val gateways = mutableListOf<Gateway>()
    private var platform = 0
    var engines: List<Int> = emptyList()
    var ports: List<GatewayPorts> = emptyList()

    /**
     * Starts [count] engines and two gateways, and waits until [configuration], built from the engines' ports, is in
     * effect.
     */
    suspend fun start(count: Int, fencing: Fencing = Fencing.CHECKED, configuration: (List<Int>) -> Configuration) {
        engines = (0 until count).map { EngineStandIn(vertx, engineSettings(it, fencing)).start() }
        platform = PlatformStandIn(vertx, PlatformSettings(instances = peerPorts.mapIndexed(::listed))).start()
        publish(configuration(engines))
        ports = (0 until GATEWAYS).map { startGateway(it) }
        eventually { ports.indices.all { status(it).revision == 1L } }
    }

    /** Publishes [configuration], whose revision must follow the last one. */
    suspend fun publish(configuration: Configuration): Unit = publish(vertx, platform, configuration)

    /** Closes all connections of a gateway permanently, as when its process dies. */
    suspend fun kill(index: Int) {
        gatewayVertx[index].close().coAwait()
    }

    suspend fun stop(index: Int) {
        gateways[index].stop()
    }

    /** Moves the clock of a gateway forward, as after a pause of its process. */
    fun advanceClock(index: Int, millis: Long) {
        clockOffsets[index].addAndGet(millis)
    }

    suspend fun platformFaults(faults: PlatformFaults) {
        post(platform, "/faults", WireJson.encodeToString(PlatformFaults.serializer(), faults))
    }

    suspend fun engineFaults(index: Int, faults: EngineFaults) {
        post(engines[index], "/faults", WireJson.encodeToString(EngineFaults.serializer(), faults))
    }

    suspend fun status(index: Int): GatewayStatus =
        WireJson.decodeFromString(GatewayStatus.serializer(), get(ports[index].operations, "/status"))

    /** The orders that reached an engine, in order of arrival. */
    suspend fun orders(engine: Int): List<OrderRun> =
        WireJson.decodeFromString(ListSerializer(OrderRun.serializer()), get(engines[engine], "/journal/orders"))

    suspend fun allOrders(): List<OrderRun> = engines.indices.flatMap { orders(it) }

    suspend fun runs(): List<EngineRun> = engines.flatMap { engine ->
        WireJson.decodeFromString(ListSerializer(EngineRun.serializer()), get(engine, "/journal"))
    }

    suspend fun complete(index: Int, tokens: Int = 8): String =
        post(ports[index].callers, "/v1/chat/completions", GatewayHarness.chat(tokens = tokens))

    suspend fun get(port: Int, path: String): String =
        client.get(port, "127.0.0.1", path).send().coAwait().bodyAsString().orEmpty()

    suspend fun eventually(condition: suspend () -> Boolean) {
        withTimeout(LIMIT_MILLIS) { while (!condition()) delay(POLL_MILLIS) }
    }

    override fun close() {
        (gatewayVertx + vertx).forEach { it.close() }
    }

    private suspend fun post(port: Int, path: String, body: String): String =
        client.post(port, "127.0.0.1", path).putHeader("Authorization", "Bearer ${GatewayHarness.KEY}")
            .sendBuffer(Buffer.buffer(body)).coAwait().bodyAsString().orEmpty()

    private suspend fun startGateway(index: Int): GatewayPorts {
        val settings = GatewaySettings(
            InstanceId("gateway-$index"),
            ZoneId("north-1"),
            RegionId("north"),
            peers = ListenSettings(port = peerPorts[index]),
            platform = HttpAddress("127.0.0.1", platform),
            orders = OrderLeaseSettings(LEASE_MILLIS),
            drainMillis = 500,
        )
        val clock = Clock { Clock.System.nowMillis() + clockOffsets[index].get() }
        return Gateway(gatewayVertx[index], settings, clock).also { gateways += it }.start()
    }

    private fun listed(index: Int, port: Int) =
        ListedInstance(InstanceId("gateway-$index"), ZoneId("north-1"), "127.0.0.1:$port")

    private fun engineSettings(index: Int, fencing: Fencing) = EngineSettings(
        EndpointId("engine-$index"),
        models = listOf(LoadedVersion(ModelId("leaf"), WeightVersion("1"))),
        fencing = fencing,
    )

    companion object {
        const val LEASE_MILLIS = 3_000L

        /** Two thirds of the lease; after that its holder may not send orders. */
        const val USABLE_MILLIS = 2_000L
        private const val GATEWAYS = 2
        private const val LIMIT_MILLIS = 40_000L
        private const val POLL_MILLIS = 20L
    }
}
