package org.parsleymoor.gateway.control

import com.github.michaelbull.result.get
import io.github.oshai.kotlinlogging.KotlinLogging
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.PoolOptions
import io.vertx.ext.web.client.HttpResponse
import io.vertx.ext.web.client.WebClient
import io.vertx.ext.web.client.WebClientOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.builtins.ListSerializer
import org.parsleymoor.clients.HttpAddress
import org.parsleymoor.clients.ListedInstance
import org.parsleymoor.clients.WireJson
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.OrganisationId
import org.parsleymoor.core.RegionId
import org.parsleymoor.core.ZoneId
import org.parsleymoor.core.rendezvousOrder
import org.parsleymoor.execution.atmostonce.ClaimLedger
import org.parsleymoor.gateway.Gateway
import org.parsleymoor.gateway.GatewayHarness
import org.parsleymoor.gateway.GatewayPorts
import org.parsleymoor.gateway.GatewaySettings
import org.parsleymoor.gateway.ListenSettings
import org.parsleymoor.gateway.callers.IssuedTicket
import org.parsleymoor.gateway.publish
import org.parsleymoor.standins.CallCount
import org.parsleymoor.standins.FreePorts
import org.parsleymoor.standins.PlatformFaults
import org.parsleymoor.standins.PlatformSettings
import org.parsleymoor.standins.PlatformStandIn
import org.parsleymoor.standins.ServiceEffect
import org.parsleymoor.standins.ServiceFaults
import org.parsleymoor.standins.ServiceSettings
import org.parsleymoor.standins.ServiceStandIn
import java.net.BindException
import java.net.ServerSocket

/** Three gateways of one zone, an object service and one replica of a plain service, over real connections. */
internal class ThreeGateways : AutoCloseable {
    private val vertx = Vertx.vertx()
    private val client =
        WebClient.create(vertx, WebClientOptions(), PoolOptions().setHttp1MaxSize(CONNECTIONS_PER_GATEWAY))
    private val peerPorts = FreePorts().take(COUNT)
    private val gateways = HashMap<Int, Gateway>()
    private val ports = HashMap<Int, GatewayPorts>()
    private var platform = 0
    private var service = 0

    /** Starts all components and waits until the gateways are connected to each other. */
    suspend fun start() {
        val instances = peerPorts.indices.map {
            ListedInstance(nameOf(it), ZoneId("north-1"), "127.0.0.1:${peerPorts[it]}")
        }
        platform = PlatformStandIn(vertx, PlatformSettings(instances = instances)).start()
        service = ServiceStandIn(vertx, ServiceSettings(EndpointId("service-0"))).start()
        publish(vertx, platform, GatewayHarness.configuration(services = listOf(service)).copy(revision = 1))
        peerPorts.indices.forEach { startGateway(it) }
        delay(SETTLE_MILLIS)
    }

    suspend fun startGateway(index: Int) {
        val settings = GatewaySettings(
            nameOf(index),
            ZoneId("north-1"),
            RegionId("north"),
            peers = ListenSettings(port = peerPorts[index]),
            platform = HttpAddress("127.0.0.1", platform),
            drainMillis = 0,
        )
        val gateway = Gateway(vertx, settings)
        gateways[index] = gateway
        val started = gateway.start()
        ports[index] = started
        withTimeout(LIMIT_MILLIS) { while ("\"revision\":1" !in status(started)) delay(POLL_MILLIS) }
    }

    /** Stops a gateway at once and closes its connections; running calls are cut off. */
    suspend fun stopGateway(index: Int) {
        gateways.remove(index)?.stop()
        withTimeout(LIMIT_MILLIS) { while (!isFree(peerPorts[index])) delay(POLL_MILLIS) }
    }

    /** Sends a call with [key] to the gateway [index]. */
    suspend fun pay(index: Int, key: String, body: String = "5"): HttpResponse<Buffer> =
        client.request(HttpMethod.POST, requireNotNull(ports[index]).callers, HOST, "/services/payouts/pay?to=x")
            .putHeader("Authorization", "Bearer ${GatewayHarness.KEY}").putHeader("Idempotency-Key", key)
            .timeout(LIMIT_MILLIS).sendBuffer(Buffer.buffer(body)).coAwait()

    suspend fun ticketOf(index: Int): String {
        val answer = client.post(requireNotNull(ports[index]).callers, HOST, "/tickets")
            .putHeader("Authorization", "Bearer ${GatewayHarness.KEY}").send().coAwait().bodyAsString()
        return WireJson.decodeFromString(IssuedTicket.serializer(), answer).ticket
    }

    /** A key whose shard is owned by the gateway [index]; [series] separates the keys within a test. */
    fun keyOwnedBy(index: Int, series: String = "weighing"): String = generateSequence(0) { it + 1 }
        .map { "$series-$it" }.first { key ->
            val shard = SHARDS.shardOf(OrganisationId("tea"), key)
            rendezvousOrder("claims.$shard", peerPorts.indices.map { nameOf(it) }) { it.value }.first() == nameOf(index)
        }

    suspend fun platformFaults(faults: PlatformFaults) {
        val body = WireJson.encodeToString(PlatformFaults.serializer(), faults)
        client.post(platform, HOST, "/faults").sendBuffer(Buffer.buffer(body)).coAwait()
    }

    suspend fun serviceFaults(faults: ServiceFaults) {
        val body = WireJson.encodeToString(ServiceFaults.serializer(), faults)
        client.post(service, HOST, "/faults").sendBuffer(Buffer.buffer(body)).coAwait()
    }

    /** The calls that took effect at the service, in order. */
    suspend fun journal(): List<ServiceEffect> {
        val json = client.get(service, HOST, "/journal").send().coAwait().bodyAsString()
        return WireJson.decodeFromString(ListSerializer(ServiceEffect.serializer()), json)
    }

    /** The number of writes that the object service received. */
    suspend fun platformWrites(): Long {
        val json = client.get(platform, HOST, "/calls").send().coAwait().bodyAsString()
        return WireJson.decodeFromString(CallCount.serializer(), json).writes
    }

    override fun close() {
        runBlocking { gateways.values.forEach { it.stop() } }
        vertx.close()
    }

    // A port is released shortly after its listener is closed.
    private fun isFree(port: Int): Boolean = try {
        ServerSocket(port).close()
        true
    } catch (cause: BindException) {
        logger.debug(cause) { "port $port is still bound" }
        false
    }

    private suspend fun status(gateway: GatewayPorts): String =
        client.get(gateway.operations, HOST, "/status").send().coAwait().bodyAsString()

    private companion object {
        val logger = KotlinLogging.logger {}
        const val COUNT = 3
        const val CONNECTIONS_PER_GATEWAY = 256
        const val HOST = "127.0.0.1"
        const val LIMIT_MILLIS = 20_000L
        const val POLL_MILLIS = 20L

        // Covers a read of the instance list (every 2 s) with a margin for connecting.
        const val SETTLE_MILLIS = 2_500L
        val SHARDS = ClaimLedger(Incarnation(InstanceId("test"), 1))

        fun nameOf(index: Int) = InstanceId("gateway-$index")
    }
}
