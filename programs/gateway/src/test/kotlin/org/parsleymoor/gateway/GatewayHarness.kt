package org.parsleymoor.gateway

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.ext.web.client.HttpResponse
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import org.parsleymoor.configuration.Configuration
import org.parsleymoor.configuration.EndpointDeclaration
import org.parsleymoor.configuration.EndpointKind
import org.parsleymoor.configuration.LimitsDeclaration
import org.parsleymoor.configuration.ModelDeclaration
import org.parsleymoor.configuration.OrganisationDeclaration
import org.parsleymoor.configuration.ServiceDeclaration
import org.parsleymoor.configuration.ZoneDeclaration
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.OrganisationId
import org.parsleymoor.core.RegionId
import org.parsleymoor.core.WeightVersion
import org.parsleymoor.core.ZoneId
import org.parsleymoor.core.sha256Hex

/** A gateway with its own Vert.x and a client, for tests through real connections. */
internal class GatewayHarness : AutoCloseable {
    val vertx: Vertx = Vertx.vertx()
    private val client = WebClient.create(vertx)
    lateinit var gateway: Gateway
    lateinit var ports: GatewayPorts

    suspend fun start(configuration: Configuration?, change: (GatewaySettings) -> GatewaySettings = { it }) {
        gateway = Gateway(vertx, change(SETTINGS))
        if (configuration != null) gateway.accept(configuration)
        ports = gateway.start()
    }

    suspend fun post(path: String, body: String, key: String? = KEY): HttpResponse<Buffer> =
        send(HttpMethod.POST, path, Buffer.buffer(body), key)

    suspend fun send(
        method: HttpMethod,
        path: String,
        body: Buffer? = null,
        key: String? = KEY,
        headers: Map<String, String> = emptyMap(),
    ): HttpResponse<Buffer> {
        val request = client.request(method, ports.callers, "127.0.0.1", path).timeout(LIMIT_MILLIS)
        if (key != null) request.putHeader("Authorization", "Bearer $key")
        headers.forEach { request.putHeader(it.key, it.value) }
        return (if (body == null) request.send() else request.sendBuffer(body)).coAwait()
    }

    suspend fun operations(path: String, body: String? = null): HttpResponse<Buffer> {
        val method = if (body == null) HttpMethod.GET else HttpMethod.POST
        val request = client.request(method, ports.operations, "127.0.0.1", path).timeout(LIMIT_MILLIS)
        return (if (body == null) request.send() else request.sendBuffer(Buffer.buffer(body))).coAwait()
    }

    /** Calls another server of the test, such as a stand-in's journal; posts [body] when there is one. */
    suspend fun at(port: Int, path: String, body: String? = null): String {
        val method = if (body == null) HttpMethod.GET else HttpMethod.POST
        val request = client.request(method, port, "127.0.0.1", path).timeout(LIMIT_MILLIS)
        val sent = if (body == null) request.send() else request.sendBuffer(Buffer.buffer(body))
        return sent.coAwait().bodyAsString().orEmpty()
    }

    /** Waits until [condition] holds; the test fails when it does not within the limit. */
    suspend fun eventually(condition: suspend () -> Boolean) {
        withTimeout(LIMIT_MILLIS) { while (!condition()) delay(POLL_MILLIS) }
    }

    suspend fun running(): Int = gauge("parsleymoor_running_requests")

    suspend fun queued(): Int = gauge("parsleymoor_queued_requests")

    suspend fun records(): Int = gauge("parsleymoor_request_records")

    private suspend fun gauge(name: String): Int = operations("/metrics").bodyAsString().lines()
        .first { it.startsWith(name) }.substringAfterLast(' ').toDouble().toInt()

    /** Stops the gateway too: its loops would go on and slow down the tests that follow. */
    override fun close() {
        runBlocking { if (::gateway.isInitialized) withTimeoutOrNull(STOP_MILLIS) { gateway.stop() } }
        vertx.close()
    }

    companion object {
        const val KEY = "secret-of-tea"
        const val OTHER_KEY = "secret-of-albums"
        const val LIMIT_MILLIS = 10_000L
        private const val POLL_MILLIS = 10L
        private const val STOP_MILLIS = 1_000L
        val SETTINGS = GatewaySettings(
            InstanceId("gateway-1"),
            ZoneId("north-1"),
            RegionId("north"),
            callers = CallerSettings(senderMillis = 400),
            streams = StreamSettings(silenceMillis = 300),
            drainMillis = 5_000,
        )

        fun chat(stream: Boolean = false, tokens: Int = 8, model: String = "leaf"): String {
            val messages = """[{"role":"user","content":"weigh this"}]"""
            return """{"model":"$model","messages":$messages,"max_tokens":$tokens,"stream":$stream}"""
        }

        fun configuration(
            engines: List<Int> = emptyList(),
            services: List<Int> = emptyList(),
            limits: LimitsDeclaration = LimitsDeclaration(),
            stores: List<Int> = emptyList(),
        ) = Configuration(
            revision = 5,
            zones = listOf(ZoneDeclaration(ZoneId("north-1"), RegionId("north"))),
            endpoints = engines.mapIndexed { index, port -> endpoint("engine-$index", EndpointKind.ENGINE, port) } +
                services.mapIndexed { index, port -> endpoint("service-$index", EndpointKind.SERVICE, port) } +
                stores.mapIndexed { index, port -> endpoint("store-$index", EndpointKind.STORE, port) },
            organisations = listOf(organisation("tea", KEY), organisation("albums", OTHER_KEY)),
            models = listOf(ModelDeclaration(ModelId("leaf"), WeightVersion("1"))),
            services = listOf(ServiceDeclaration("payouts", "kind=service")),
            limits = limits,
        )

        private fun endpoint(name: String, kind: EndpointKind, port: Int) =
            EndpointDeclaration(EndpointId(name), kind, "127.0.0.1:$port", ZoneId("north-1"))

        private fun organisation(name: String, key: String) =
            OrganisationDeclaration(OrganisationId(name), listOf(key.toByteArray().sha256Hex()))
    }
}
