package org.parsleymoor.gateway

import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpConnection
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.HttpServerRequest
import io.vertx.ext.web.client.HttpResponse
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import org.parsleymoor.clients.WireJson
import org.parsleymoor.gateway.callers.IssuedTicket
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger

@Timeout(30)
class ServiceTest {
    private val harness = GatewayHarness()
    private val runs = AtomicInteger()

    @AfterEach
    fun close() = harness.close()

    private suspend fun replica(answer: (HttpServerRequest) -> Unit): Int =
        harness.vertx.createHttpServer().requestHandler { request ->
            runs.incrementAndGet()
            request.body().onSuccess { answer(request) }
        }.listen(0, "127.0.0.1").coAwait().actualPort()

    private suspend fun pay(headers: Map<String, String> = emptyMap(), body: String = "5"): HttpResponse<Buffer> =
        harness.send(HttpMethod.POST, "/services/payouts/pay?to=x", Buffer.buffer(body), headers = headers)

    private suspend fun ticket(key: String = GatewayHarness.KEY): Map<String, String> {
        val answer = harness.post("/tickets", "", key).bodyAsString()
        return mapOf("Idempotency-Key" to WireJson.decodeFromString(IssuedTicket.serializer(), answer).ticket)
    }

    @Test
    fun `a call reaches a replica with its path and organisation`(): Unit = runBlocking {
        val port = replica { it.response().setStatusCode(201).end("${it.uri()} ${it.getHeader("X-Organisation")}") }
        harness.start(GatewayHarness.configuration(services = listOf(port)))
        val answer = pay()
        expectThat(answer.statusCode()).isEqualTo(201)
        expectThat(answer.bodyAsString()).isEqualTo("/pay?to=x tea")
    }

    @Test
    fun `a payout whose connection breaks is sent once and answered as unknown`(): Unit = runBlocking {
        val ports = List(2) { replica { it.connection().close() } }
        harness.start(GatewayHarness.configuration(services = ports))
        expectThat(pay().bodyAsString()).contains("\"execution\":\"unknown\"")
        expectThat(runs.get()).isEqualTo(1)
    }

    @Test
    fun `a payout is tried elsewhere when no connection is made`(): Unit = runBlocking {
        val good = replica { it.response().end("paid") }
        val closed = ServerSocket(0).use { it.localPort }
        harness.start(GatewayHarness.configuration(services = listOf(closed, good)))
        repeat(4) { expectThat(pay().bodyAsString()).isEqualTo("paid") }
    }

    @Test
    fun `a read is repeated on another replica`(): Unit = runBlocking {
        val broken = replica { it.connection().close() }
        val good = replica { it.response().end("paid") }
        harness.start(GatewayHarness.configuration(services = listOf(broken, good)))
        repeat(4) { expectThat(harness.send(HttpMethod.GET, "/services/payouts/x").bodyAsString()).isEqualTo("paid") }
    }

    /** Guards against a read that waits for its whole deadline on a connection that has gone silent. */
    @Test
    fun `a read on a pooled connection that has gone silent is answered over a fresh one`(): Unit = runBlocking {
        val answered = HashSet<HttpConnection>()
        val port = replica { if (answered.add(it.connection())) it.response().end("paid") }
        harness.start(GatewayHarness.configuration(services = listOf(port)))
        repeat(2) { expectThat(harness.send(HttpMethod.GET, "/services/payouts/x").bodyAsString()).isEqualTo("paid") }
    }

    @Test
    fun `a payout that a replica refused before running it says so`(): Unit = runBlocking {
        val port = replica { it.response().setStatusCode(503).end("{\"execution\":\"not_run\"}") }
        harness.start(GatewayHarness.configuration(services = listOf(port)))
        val answer = pay()
        expectThat(answer.statusCode()).isEqualTo(503)
        expectThat(answer.bodyAsString()).contains("\"execution\":\"not_run\"")
    }

    @Test
    fun `a payout under a ticket runs once and every repetition gets its answer`(): Unit = runBlocking {
        val port = replica { it.response().end("paid ${runs.get()}") }
        harness.start(GatewayHarness.configuration(services = listOf(port)))
        val ticket = ticket()
        expectThat(List(3) { pay(ticket).bodyAsString() }).isEqualTo(List(3) { "paid 1" })
        expectThat(pay(ticket, body = "6").statusCode()).isEqualTo(422)
        expectThat(runs.get()).isEqualTo(1)
    }

    @Test
    fun `a payout under a ticket whose connection breaks is never run again`(): Unit = runBlocking {
        val port = replica { it.connection().close() }
        harness.start(GatewayHarness.configuration(services = listOf(port)))
        val ticket = ticket()
        repeat(2) { expectThat(pay(ticket).bodyAsString()).contains("\"execution\":\"unknown\"") }
        expectThat(runs.get()).isEqualTo(1)
    }

    @Test
    fun `a ticket of another organisation is refused`(): Unit = runBlocking {
        val port = replica { it.response().end("paid") }
        harness.start(GatewayHarness.configuration(services = listOf(port)))
        val answer = pay(ticket(GatewayHarness.OTHER_KEY))
        expectThat(answer.statusCode()).isEqualTo(400)
        expectThat(runs.get()).isEqualTo(0)
    }

    @Test
    fun `a key of the caller is refused as not run while claims cannot be recorded`(): Unit = runBlocking {
        val port = replica { it.response().end("paid") }
        harness.start(GatewayHarness.configuration(services = listOf(port)))
        val answer = pay(mapOf("Idempotency-Key" to "week-12"))
        expectThat(answer.statusCode()).isEqualTo(503)
        expectThat(answer.bodyAsString()).contains("\"execution\":\"not_run\"")
        expectThat(runs.get()).isEqualTo(0)
    }
}
