package org.parsleymoor.gateway

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.ext.web.client.HttpResponse
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.api.io.TempDir
import org.parsleymoor.clients.ConfigurationOffer
import org.parsleymoor.clients.WireJson
import org.parsleymoor.gateway.ScriptedEngine.Companion.begin
import org.parsleymoor.gateway.ScriptedEngine.Companion.finish
import org.parsleymoor.gateway.ScriptedEngine.Companion.token
import org.parsleymoor.standins.FreePorts
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.endsWith
import strikt.assertions.isEqualTo
import java.io.IOException
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import kotlin.io.path.writeText

/** Guards against a stop that cuts off a stream, drops a waiting request or ends with an error (I10). */
@Timeout(90)
class PlannedStopTest {
    @TempDir
    lateinit var directory: Path

    private val vertx = Vertx.vertx()
    private val client = WebClient.create(vertx)
    private val release = CompletableFuture<Unit>()
    private val engine = ScriptedEngine(vertx) { request, response ->
        response.begin(request).token(request.attempt, 0, "first ")
        release.thenRun { response.token(request.attempt, 1, "last").finish(request.attempt, 2) }
    }
    private val ports = FreePorts().take(PORTS)

    @AfterEach
    fun close() {
        vertx.close()
    }

    @Test
    fun `SIGTERM ends the process with status 0 after every running and waiting request is answered whole`(): Unit =
        runBlocking {
            start().use { gateway ->
                val streamed = List(2) { async { chat(stream = true) } }
                eventually { engine.requests.size == 2 }
                val waiting = async { chat(stream = false) }
                eventually { "parsleymoor_queued_requests 1.0" in operations("/metrics").bodyAsString() }
                gateway.terminate()
                eventually { operations("/ready").statusCode() == UNAVAILABLE }
                val refused = chat(stream = false).bodyAsString()
                expectThat(refused).contains("\"type\":\"urn:parsleymoor:problem:stopping\"")
                expectThat(refused).contains("\"execution\":\"not_run\"")
                release.complete(Unit)
                expectWhole(streamed, waiting)
                expectThat(gateway.exitStatus()).isEqualTo(0)
            }
        }

    private suspend fun expectWhole(
        streamed: List<Deferred<HttpResponse<Buffer>>>,
        waiting: Deferred<HttpResponse<Buffer>>,
    ) {
        val texts = streamed.awaitAll().map { it.bodyAsString().trimEnd() }
        expectThat(texts).all { contains("first ").contains("last").endsWith("[DONE]") }
        expectThat(waiting.await().statusCode()).isEqualTo(OK)
        expectThat(waiting.await().bodyAsString()).contains("first last")
    }

    private suspend fun start(): GatewayProcess {
        val file = directory.resolve("gateway.toml")
        file.writeText(settings())
        val process = GatewayProcess(directory, "--settings", "$file")
        eventually { operations("/health").statusCode() == OK }
        val configuration = GatewayHarness.configuration(listOf(engine.start()))
        val offer = WireJson.encodeToString(ConfigurationOffer.serializer(), offerOf(configuration))
        client.post(ports[1], HOST, "/configuration").sendBuffer(Buffer.buffer(offer)).coAwait()
        eventually { operations("/ready").statusCode() == OK }
        return process
    }

    private fun settings() = """
        instance = "gateway-1"
        zone = "north-1"
        region = "north"
        drainMillis = 30000
        [callers]
        port = ${ports[0]}
        [operations]
        port = ${ports[1]}
        [peers]
        port = ${ports[2]}
        [streams]
        silenceMillis = 30000
    """.trimIndent()

    private suspend fun chat(stream: Boolean): HttpResponse<Buffer> =
        client.post(ports[0], HOST, "/v1/chat/completions").putHeader("Authorization", "Bearer ${GatewayHarness.KEY}")
            .sendBuffer(Buffer.buffer(GatewayHarness.chat(stream))).coAwait()

    private suspend fun operations(path: String): HttpResponse<Buffer> =
        client.get(ports[1], HOST, path).send().coAwait()

    /** Waits until [condition] holds; a refused connection means that it does not yet. */
    private suspend fun eventually(condition: suspend () -> Boolean) = withTimeout(LIMIT_MILLIS) {
        while (!holds(condition)) delay(POLL_MILLIS)
    }

    private suspend fun holds(condition: suspend () -> Boolean): Boolean = try {
        condition()
    } catch (_: IOException) {
        false
    }

    private companion object {
        const val HOST = "127.0.0.1"
        const val PORTS = 3
        const val OK = 200
        const val UNAVAILABLE = 503
        const val LIMIT_MILLIS = 30_000L
        const val POLL_MILLIS = 20L
    }
}
