package org.parsleymoor.gateway

import com.github.michaelbull.result.getOrThrow
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import org.parsleymoor.clients.ConfigurationOffer
import org.parsleymoor.clients.HttpAddress
import org.parsleymoor.clients.RequestStepKind
import org.parsleymoor.clients.VertxOperationsClient
import org.parsleymoor.clients.WireJson
import org.parsleymoor.core.FailureException
import org.parsleymoor.core.RequestId
import org.parsleymoor.gateway.ScriptedEngine.Companion.answer
import org.parsleymoor.gateway.ScriptedEngine.Companion.begin
import org.parsleymoor.gateway.ScriptedEngine.Companion.finish
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.util.concurrent.CompletableFuture

@Timeout(30)
class OperationsTest {
    private val harness = GatewayHarness()

    @AfterEach
    fun close() = harness.close()

    private fun client() = VertxOperationsClient(harness.vertx, HttpAddress("127.0.0.1", harness.ports.operations))

    @Test
    fun `a gateway without a configuration is healthy but not ready and refuses work as not run`(): Unit = runBlocking {
        harness.start(null)
        expectThat(harness.operations("/health").statusCode()).isEqualTo(200)
        expectThat(harness.operations("/ready").statusCode()).isEqualTo(503)
        val refused = harness.post("/v1/chat/completions", GatewayHarness.chat())
        expectThat(refused.statusCode()).isEqualTo(503)
        expectThat(refused.bodyAsString()).contains("\"execution\":\"not_run\"")
    }

    @Test
    fun `a configuration that is handed over takes effect and a lower revision does not`(): Unit = runBlocking {
        harness.start(null)
        val configuration = GatewayHarness.configuration()
        val accepted = client().offer(offerOf(configuration)).getOrThrow { FailureException(it) }
        expectThat(accepted.revision).isEqualTo(5)
        val older = client().offer(offerOf(configuration.copy(revision = 4))).getOrThrow { FailureException(it) }
        expectThat(older.revision).isEqualTo(5)
        expectThat(harness.operations("/ready").statusCode()).isEqualTo(200)
        expectThat(client().status().getOrThrow { FailureException(it) }.revision).isEqualTo(5)
    }

    @Test
    fun `a configuration with an altered section is refused whole`(): Unit = runBlocking {
        harness.start(null)
        val good = offerOf(GatewayHarness.configuration())
        val altered = good.copy(sections = good.sections.mapValues { it.value + " " })
        val body = WireJson.encodeToString(ConfigurationOffer.serializer(), altered)
        expectThat(harness.operations("/configuration", body).statusCode()).isEqualTo(400)
        expectThat(harness.operations("/ready").statusCode()).isEqualTo(503)
    }

    @Test
    fun `the record of a request holds its hops in order`(): Unit = runBlocking {
        val engine = ScriptedEngine(harness.vertx) { request, response -> response.answer(request, listOf("one")) }
        harness.start(GatewayHarness.configuration(listOf(engine.start())))
        val id = harness.post("/v1/chat/completions", GatewayHarness.chat()).getHeader("X-Request-Id")
        val history = client().history(RequestId(id)).getOrThrow { FailureException(it) }
        expectThat(history.steps.map { it.kind }).isEqualTo(
            listOf(
                RequestStepKind.RECEIVED,
                RequestStepKind.ADMITTED,
                RequestStepKind.PLACED,
                RequestStepKind.ATTEMPTED,
                RequestStepKind.FINISHED,
            ),
        )
    }

    @Test
    fun `metrics follow the naming conventions`(): Unit = runBlocking {
        val engine = ScriptedEngine(harness.vertx) { request, response -> response.answer(request, listOf("one")) }
        harness.start(GatewayHarness.configuration(listOf(engine.start())))
        harness.post("/v1/chat/completions", GatewayHarness.chat())
        harness.post("/v1/chat/completions", "{")
        val metrics = harness.operations("/metrics").bodyAsString()
        val names = listOf(
            "parsleymoor_time_to_first_token_seconds_bucket",
            "parsleymoor_context_pieces_total{source=\"recomputed\"}",
            "parsleymoor_refusals_total{reason=\"malformed-json\"} 1.0",
            "parsleymoor_configuration_revision 5.0",
            "parsleymoor_limit{limit=\"queue_length\"} 1000.0",
        )
        names.forEach { expectThat(metrics).contains(it) }
    }

    @Test
    fun `a planned stop finishes the running request and refuses new ones as not run`(): Unit = runBlocking {
        val release = CompletableFuture<Unit>()
        val engine = ScriptedEngine(harness.vertx) { request, response ->
            response.begin(request)
            release.thenRun { response.finish(request.attempt, 0) }
        }
        harness.start(GatewayHarness.configuration(listOf(engine.start()))) {
            it.copy(streams = StreamSettings(silenceMillis = 5_000))
        }
        val running = async { harness.post("/v1/chat/completions", GatewayHarness.chat()) }
        harness.eventually { engine.requests.size == 1 }
        val stopping = async { harness.gateway.stop() }
        harness.eventually { harness.operations("/ready").statusCode() == 503 }
        val refused = harness.post("/v1/chat/completions", GatewayHarness.chat())
        expectThat(refused.bodyAsString()).contains("stopping").contains("\"execution\":\"not_run\"")
        release.complete(Unit)
        expectThat(running.await().statusCode()).isEqualTo(200)
        expectThat(stopping.await()).isTrue()
    }

    @Test
    fun `an idle gateway that stops refuses as not run until the load balancer has seen that it is unready`(): Unit =
        runBlocking {
            harness.start(GatewayHarness.configuration())
            val stopping = async { harness.gateway.stop(noticeMillis = 1_000) }
            harness.eventually { harness.operations("/ready").statusCode() == 503 }
            val refused = harness.post("/v1/chat/completions", GatewayHarness.chat())
            expectThat(refused.bodyAsString()).contains("stopping").contains("\"execution\":\"not_run\"")
            expectThat(stopping.await()).isTrue()
        }
}
