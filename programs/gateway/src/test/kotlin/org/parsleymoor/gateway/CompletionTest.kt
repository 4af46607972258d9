package org.parsleymoor.gateway

import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.HttpServerResponse
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import org.parsleymoor.clients.EngineRefusalReason
import org.parsleymoor.clients.GenerateRequest
import org.parsleymoor.clients.LoadedVersion
import org.parsleymoor.configuration.LimitsDeclaration
import org.parsleymoor.core.AttemptId
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.WeightVersion
import org.parsleymoor.gateway.ScriptedEngine.Companion.answer
import org.parsleymoor.gateway.ScriptedEngine.Companion.begin
import org.parsleymoor.gateway.ScriptedEngine.Companion.finish
import org.parsleymoor.gateway.ScriptedEngine.Companion.refuse
import org.parsleymoor.gateway.ScriptedEngine.Companion.token
import org.parsleymoor.standins.EngineSettings
import org.parsleymoor.standins.EngineStandIn
import org.parsleymoor.standins.ModelText
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.endsWith
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEmpty
import java.util.concurrent.atomic.AtomicInteger

@Timeout(30)
class CompletionTest {
    private val harness = GatewayHarness()
    private val text = listOf("one ", "two ", "three ")

    @AfterEach
    fun close() = harness.close()

    private suspend fun start(vararg engines: ScriptedEngine, limits: LimitsDeclaration = LimitsDeclaration()) =
        harness.start(GatewayHarness.configuration(engines.map { it.start() }, limits = limits))

    private suspend fun chat(stream: Boolean = false): String =
        harness.post("/v1/chat/completions", GatewayHarness.chat(stream)).bodyAsString()

    @Test
    fun `a whole answer carries every token of the engine`(): Unit = runBlocking {
        val loaded = listOf(LoadedVersion(ModelId("leaf"), WeightVersion("1")))
        val port = EngineStandIn(harness.vertx, EngineSettings(EndpointId("engine-0"), models = loaded)).start()
        harness.start(GatewayHarness.configuration(listOf(port)))
        expectThat(chat()).contains(ModelText.answer("leaf", "user: weigh this", 8))
    }

    @Test
    fun `a streamed answer ends with the done marker`(): Unit = runBlocking {
        start(ScriptedEngine(harness.vertx) { request, response -> response.answer(request, text) })
        val answer = chat(stream = true)
        expectThat(answer).endsWith("data: [DONE]\n\n")
        expectThat(answer.lines().count { "\"finish_reason\":\"stop\"" in it }).isEqualTo(1)
    }

    @Test
    fun `a text completion and the list of models have the expected form`(): Unit = runBlocking {
        start(ScriptedEngine(harness.vertx) { request, response -> response.answer(request, text) })
        val body = """{"model":"leaf","prompt":"weigh","max_tokens":3}"""
        expectThat(harness.post("/v1/completions", body).bodyAsString()).contains("\"text\":\"one two three \"")
        val models = harness.send(HttpMethod.GET, "/v1/models").bodyAsString()
        expectThat(models).contains("\"id\":\"leaf\"")
    }

    @Test
    fun `a truncated stream is resumed on another replica after the tokens already sent`(): Unit = runBlocking {
        val script = { request: GenerateRequest, response: HttpServerResponse ->
            if (request.resumeAfterTokens > 0) {
                response.answer(request, text)
            } else {
                response.begin(request).token(request.attempt, 0, "one ").end().let { }
            }
        }
        val engines = List(2) { ScriptedEngine(harness.vertx, script) }
        start(*engines.toTypedArray())
        expectThat(chat()).contains("\"content\":\"one two three \"")
        expectThat(engines.flatMap { it.requests }.map { it.resumeAfterTokens }).containsExactlyInAnyOrder(0, 1)
        expectThat(engines.map { it.requests.size }).isEqualTo(listOf(1, 1))
    }

    @Test
    fun `chunks of another request and of an earlier attempt do not reach the caller`(): Unit = runBlocking {
        val script = { request: GenerateRequest, response: HttpServerResponse ->
            response.begin(request)
            if (request.attempt.value.endsWith(".0")) {
                response.token(AttemptId("other.0"), 0, "crossed ").finish(AttemptId("other.0"), 1)
            } else {
                response.token(AttemptId("${request.request}.0"), 0, "late ")
                text.forEachIndexed { index, token -> response.token(request.attempt, index, token) }
                response.finish(request.attempt, text.size)
            }
        }
        start(ScriptedEngine(harness.vertx, script), ScriptedEngine(harness.vertx, script))
        val answer = chat()
        expectThat(answer).not().contains("crossed")
        expectThat(answer).not().contains("late")
        expectThat(answer).contains("\"content\":\"one two three \"")
    }

    @Test
    fun `a silent stream is tried over a fresh connection and its attempt is cancelled`(): Unit = runBlocking {
        val engine = ScriptedEngine(harness.vertx) { request, response ->
            if (request.attempt.value.endsWith(".0")) {
                response.begin(request).let { }
            } else {
                response.answer(request, text)
            }
        }
        start(engine)
        expectThat(chat()).contains("\"content\":\"one two three \"")
        harness.eventually { engine.cancelled.any { it.endsWith(".0") } }
    }

    /** Guards against giving a broken stream up because the other engines are full at that moment. */
    @Test
    fun `a broken stream is resumed when a slot of a full engine becomes free`(): Unit = runBlocking {
        val arrivals = AtomicInteger()
        val script = { request: GenerateRequest, response: HttpServerResponse ->
            when (arrivals.incrementAndGet()) {
                1 -> harness.vertx.setTimer(800) { response.answer(request, listOf("one")) }.let { }
                2 -> response.begin(request).end().let { }
                else -> response.answer(request, listOf("two"))
            }
        }
        val ports = List(2) { ScriptedEngine(harness.vertx, script).start() }
        harness.start(GatewayHarness.configuration(ports, limits = LimitsDeclaration(concurrentPerEngine = 1))) {
            it.copy(streams = StreamSettings(silenceMillis = 5_000))
        }
        val holding = async { harness.post("/v1/chat/completions", GatewayHarness.chat()) }
        harness.eventually { arrivals.get() == 1 }
        expectThat(harness.post("/v1/chat/completions", GatewayHarness.chat()).bodyAsString()).contains("two")
        expectThat(holding.await().statusCode()).isEqualTo(200)
    }

    @Test
    fun `a streamed answer that cannot be completed has no done marker`(): Unit = runBlocking {
        start(
            ScriptedEngine(harness.vertx) { request, response ->
                response.begin(request)
                if (request.resumeAfterTokens == 0) response.token(request.attempt, 0, "one ")
                response.finish(request.attempt, 7)
            },
        )
        val outcome = runCatching { chat(stream = true) }.getOrElse { it.toString() }
        expectThat(outcome).not().contains("[DONE]")
    }

    @Test
    fun `an answer with no final marker is refused as unknown`(): Unit = runBlocking {
        start(ScriptedEngine(harness.vertx) { request, response -> response.begin(request).end() })
        val answer = harness.post("/v1/chat/completions", GatewayHarness.chat())
        expectThat(answer.statusCode()).isEqualTo(502)
        expectThat(answer.getHeader("Content-Type")).isEqualTo("application/problem+json")
        expectThat(answer.bodyAsString()).contains("\"execution\":\"unknown\"")
    }

    @Test
    fun `a request that every engine refused is not run`(): Unit = runBlocking {
        start(ScriptedEngine(harness.vertx) { _, response -> response.refuse(EngineRefusalReason.FULL) })
        val answer = harness.post("/v1/chat/completions", GatewayHarness.chat())
        expectThat(answer.statusCode()).isEqualTo(503)
        expectThat(answer.bodyAsString()).contains("\"execution\":\"not_run\"")
    }

    @Test
    fun `an engine with another weight version does not answer`(): Unit = runBlocking {
        val wrong = ScriptedEngine(harness.vertx) { request, response ->
            response.answer(request.copy(version = WeightVersion("2")), text)
        }
        start(wrong)
        expectThat(harness.post("/v1/chat/completions", GatewayHarness.chat()).statusCode()).isEqualTo(502)
    }

    @Test
    fun `a full queue refuses early and says that the request was not run`(): Unit = runBlocking {
        val limits = LimitsDeclaration(queueLength = 1, concurrentPerEngine = 1, requestDeadlineMillis = 600)
        val engine = ScriptedEngine(harness.vertx) { request, response -> response.begin(request) }
        start(engine, limits = limits)
        val first = async { chat() }
        harness.eventually { engine.requests.isNotEmpty() }
        val second = async { harness.post("/v1/chat/completions", GatewayHarness.chat()) }
        harness.eventually { "\"queued\":1" in harness.operations("/status").bodyAsString() }
        val third = harness.post("/v1/chat/completions", GatewayHarness.chat())
        expectThat(third.statusCode()).isEqualTo(429)
        expectThat(third.bodyAsString()).contains("\"execution\":\"not_run\"")
        first.await()
        second.await()
    }

    @Test
    fun `a request past its deadline says that it may have run`(): Unit = runBlocking {
        val engine = ScriptedEngine(harness.vertx) { request, response -> response.begin(request) }
        val port = engine.start()
        val limits = LimitsDeclaration(requestDeadlineMillis = 200)
        harness.start(GatewayHarness.configuration(listOf(port), limits = limits)) {
            it.copy(streams = StreamSettings(silenceMillis = 5_000))
        }
        val answer = harness.post("/v1/chat/completions", GatewayHarness.chat())
        expectThat(answer.statusCode()).isEqualTo(504)
        expectThat(answer.bodyAsString()).contains("\"execution\":\"unknown\"")
        harness.eventually { engine.cancelled.isNotEmpty() }
    }

    @Test
    fun `a request without a trace gets a trace id although nothing is exported`(): Unit = runBlocking {
        val engine = ScriptedEngine(harness.vertx) { request, response -> response.answer(request, text) }
        start(engine)
        chat()
        expectThat(engine.traceParents.single()).not().contains("0".repeat(32))
    }

    @Test
    fun `a stream on an engine that is removed from the configuration is finished`(): Unit = runBlocking {
        val running = mutableListOf<() -> Unit>()
        val engine = ScriptedEngine(harness.vertx) { request, response ->
            response.begin(request)
            running += { response.token(request.attempt, 0, "one ").finish(request.attempt, 1) }
        }
        start(engine)
        val answer = async { chat() }
        harness.eventually { engine.requests.isNotEmpty() }
        harness.gateway.accept(GatewayHarness.configuration().copy(revision = 6))
        harness.eventually { "\"endpoints\":[]" in harness.operations("/status").bodyAsString() }
        running.single().invoke()
        expectThat(answer.await()).contains("\"content\":\"one \"")
    }

    @Test
    fun `the engine continues the trace of the caller`(): Unit = runBlocking {
        val engine = ScriptedEngine(harness.vertx) { request, response -> response.answer(request, text) }
        start(engine)
        val trace = "4bf92f3577b34da6a3ce929d0e0e4736"
        harness.send(
            HttpMethod.POST,
            "/v1/chat/completions",
            Buffer.buffer(GatewayHarness.chat()),
            headers = mapOf("traceparent" to "00-$trace-00f067aa0ba902b7-01"),
        )
        expectThat(engine.traceParents).isNotEmpty()
        expectThat(engine.traceParents.first()).contains(trace)
        expectThat(engine.traceParents.first()).not().contains("00f067aa0ba902b7")
    }
}
