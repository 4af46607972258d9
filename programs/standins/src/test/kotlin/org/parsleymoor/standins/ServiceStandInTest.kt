package org.parsleymoor.standins

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClosedException
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.serialization.builtins.ListSerializer
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.parsleymoor.clients.WireJson
import org.parsleymoor.core.EndpointId
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import java.nio.file.Path

class ServiceStandInTest {
    private val vertx = Vertx.vertx()
    private val web = WebClient.create(vertx)

    @AfterEach
    fun close() {
        vertx.close()
    }

    @Test
    fun `a call sent twice with one key shows twice in the journal`(): Unit = vertx.onEventLoop {
        val port = start()
        repeat(2) { call(port) }
        expectThat(journal(port)).hasSize(2)
    }

    @Test
    fun `a crash after the effect leaves the effect and no answer`(): Unit = vertx.onEventLoop {
        val port = start()
        setFaults(port, ServiceFaults(crashesAfterEffect = 1))
        expectThat(runCatching { call(port) }.exceptionOrNull()).isA<HttpClosedException>()
        expectThat(journal(port)).hasSize(1)
    }

    @Test
    fun `a crash before the effect leaves none`(): Unit = vertx.onEventLoop {
        val port = start()
        setFaults(port, ServiceFaults(crashesBeforeEffect = 1))
        expectThat(runCatching { call(port) }.exceptionOrNull()).isA<HttpClosedException>()
        expectThat(journal(port)).isEmpty()
    }

    @Test
    fun `a journal kept in a file outlives the process`(
        @TempDir directory: Path,
    ): Unit = vertx.onEventLoop {
        val file = directory.resolve("journal").toString()
        call(start(file))
        expectThat(journal(start(file))).hasSize(1)
    }

    private suspend fun start(file: String = ""): Int =
        ServiceStandIn(vertx, ServiceSettings(EndpointId("weigh-1"), journalFile = file)).start()

    private suspend fun call(port: Int) {
        web.post(port, HOST, "/weighings/1").putHeader("Idempotency-Key", "k").sendBuffer(Buffer.buffer("x")).coAwait()
    }

    private suspend fun journal(port: Int): List<ServiceEffect> {
        val text = web.get(port, HOST, "/journal").send().coAwait().bodyAsString()
        return WireJson.decodeFromString(ListSerializer(ServiceEffect.serializer()), text)
    }

    private suspend fun setFaults(port: Int, faults: ServiceFaults) {
        val body = Buffer.buffer(WireJson.encodeToString(ServiceFaults.serializer(), faults))
        web.post(port, HOST, "/faults").sendBuffer(body).coAwait()
    }

    private companion object {
        const val HOST = "127.0.0.1"
    }
}
