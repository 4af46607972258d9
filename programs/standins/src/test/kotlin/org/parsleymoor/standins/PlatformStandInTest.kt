package org.parsleymoor.standins

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClosedException
import io.vertx.core.http.PoolOptions
import io.vertx.ext.web.client.HttpResponse
import io.vertx.ext.web.client.WebClient
import io.vertx.ext.web.client.WebClientOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.parsleymoor.clients.StoredObject
import org.parsleymoor.clients.WatchEvent
import org.parsleymoor.clients.WireJson
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class PlatformStandInTest {
    private val vertx = Vertx.vertx()

    // With one connection, a call that follows another uses the connection of that one.
    private val web = WebClient.create(vertx, WebClientOptions(), PoolOptions().setHttp1MaxSize(1))
    private val fresh = WebClient.create(vertx)
    private val settings = PlatformSettings(heartbeatMillis = 20)
    private val port = runBlocking { PlatformStandIn(vertx, settings).start() }

    @AfterEach
    fun close() {
        vertx.close()
    }

    @Test
    fun `a write that expects an old version has no effect`(): Unit = runBlocking {
        put("root", "first", expectedVersion = 0, writeId = "a")
        val second = put("root", "second", expectedVersion = 0, writeId = "b")
        expectThat(second.statusCode()).isEqualTo(409)
        expectThat(read("root").writeId).isEqualTo("a")
    }

    @Test
    fun `a version is not used again after a deletion`(): Unit = runBlocking {
        put("root", "first", expectedVersion = 0, writeId = "a")
        web.delete(port, HOST, "/objects/leases/root?expectedVersion=1").send().coAwait()
        put("root", "second", expectedVersion = 0, writeId = "b")
        expectThat(read("root").version).isEqualTo(2)
    }

    @Test
    fun `a write whose response is lost has taken effect`(): Unit = runBlocking {
        setFaults(PlatformFaults(loseWriteResponses = 1))
        expectThrows<HttpClosedException> { put("root", "first", expectedVersion = 0, writeId = "a") }
        expectThat(read("root").writeId).isEqualTo("a")
    }

    @Test
    fun `a service that is down has no effect and gives no answer`(): Unit = runBlocking {
        setFaults(PlatformFaults(down = true))
        expectThrows<HttpClosedException> { put("root", "first", expectedVersion = 0, writeId = "a") }
        setFaults(PlatformFaults())
        val answer = web.get(port, HOST, "/objects/leases/root").send().coAwait()
        expectThat(answer.statusCode()).isEqualTo(404)
    }

    @Test
    fun `a watch reports a change after its revision`(): Unit = runBlocking {
        put("root", "first", expectedVersion = 0, writeId = "a")
        val lines = WatchLines(vertx, port)
        put("root", "second", expectedVersion = 1, writeId = "b")
        val changed = lines.next { it is WatchEvent.Changed && it.stored.writeId == "b" }
        expectThat((changed as WatchEvent.Changed).stored.value).isEqualTo("second")
    }

    @Test
    fun `a silenced watch reports nothing while a new one works`(): Unit = runBlocking {
        val silenced = WatchLines(vertx, port)
        silenced.next { it is WatchEvent.Heartbeat }
        setFaults(PlatformFaults(silenceOpenWatches = true))
        put("root", "first", expectedVersion = 0, writeId = "a")
        val fresh = WatchLines(vertx, port).next { it is WatchEvent.Changed }
        expectThat((fresh as WatchEvent.Changed).stored.writeId).isEqualTo("a")
        expectThat(withTimeoutOrNull(100) { silenced.next { it is WatchEvent.Changed } }).isNull()
    }

    @Test
    fun `a silenced connection answers nothing while a new one works`(): Unit = runBlocking {
        put("root", "first", expectedVersion = 0, writeId = "a")
        setFaults(PlatformFaults(silenceOpenConnections = true))
        expectThat(withTimeoutOrNull(200) { read("root") }).isNull()
        val answer = fresh.get(port, HOST, "/objects/leases/root").send().coAwait()
        expectThat(answer.statusCode()).isEqualTo(200)
    }

    private suspend fun put(name: String, value: String, expectedVersion: Long, writeId: String) =
        web.put(port, HOST, "/objects/leases/$name?expectedVersion=$expectedVersion&writeId=$writeId")
            .sendBuffer(Buffer.buffer(value)).coAwait()

    private suspend fun read(name: String): StoredObject {
        val answer = web.get(port, HOST, "/objects/leases/$name").send().coAwait()
        return WireJson.decodeFromString(StoredObject.serializer(), answer.bodyAsString())
    }

    private suspend fun setFaults(faults: PlatformFaults): HttpResponse<Buffer> =
        web.post(port, HOST, "/faults")
            .sendBuffer(Buffer.buffer(WireJson.encodeToString(PlatformFaults.serializer(), faults))).coAwait()

    private companion object {
        const val HOST = "127.0.0.1"
    }
}
