package org.parsleymoor.gateway

import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.ext.web.client.HttpResponse
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import org.parsleymoor.configuration.LimitsDeclaration
import org.parsleymoor.gateway.ScriptedEngine.Companion.begin
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.net.Socket

/** Each kind of bad input gets a typed refusal or a cancelled attempt, reaches no engine and leaves no state behind. */
@Timeout(30)
class BadInputTest {
    private val harness = GatewayHarness()
    private val engine = ScriptedEngine(harness.vertx) { request, response -> response.begin(request) }

    @BeforeEach
    fun start(): Unit = runBlocking {
        val limits = LimitsDeclaration(maximumBodyBytes = 2_000)
        harness.start(GatewayHarness.configuration(listOf(engine.start()), limits = limits))
    }

    @AfterEach
    fun close() = harness.close()

    private suspend fun expectRefused(status: Int, type: String, response: HttpResponse<Buffer>) {
        expectThat(response.statusCode()).isEqualTo(status)
        expectThat(response.getHeader("Content-Type")).isEqualTo("application/problem+json")
        expectThat(response.bodyAsString()).contains("\"type\":\"urn:parsleymoor:problem:$type\"")
        expectThat(response.bodyAsString()).contains("\"execution\":\"not_run\"")
        expectNothingLeft()
    }

    private suspend fun expectNothingLeft() {
        expectThat(engine.requests).isEmpty()
        harness.eventually { harness.running() == 0 && harness.queued() == 0 && harness.records() == 0 }
    }

    /** Sends [head] and [body] over a plain socket and returns what comes back until the connection ends. */
    private suspend fun raw(head: List<String>, body: String = ""): String = withContext(Dispatchers.IO) {
        Socket("127.0.0.1", harness.ports.callers).use { socket ->
            socket.soTimeout = GatewayHarness.LIMIT_MILLIS.toInt()
            socket.getOutputStream().write((head.joinToString("\r\n") + body).toByteArray())
            socket.getOutputStream().flush()
            socket.getInputStream().readAllBytes().decodeToString()
        }
    }

    private val head = listOf(
        "POST /v1/chat/completions HTTP/1.1",
        "Host: gateway",
        "Authorization: Bearer ${GatewayHarness.KEY}",
    )

    @Test
    fun `malformed JSON is refused`(): Unit = runBlocking {
        expectRefused(400, "malformed-json", harness.post("/v1/chat/completions", "{\"model\":"))
    }

    @Test
    fun `deeply nested JSON is refused`(): Unit = runBlocking {
        expectRefused(400, "malformed-json", harness.post("/v1/chat/completions", "[".repeat(1_900)))
    }

    @Test
    fun `a missing member is refused`(): Unit = runBlocking {
        expectRefused(400, "invalid-request", harness.post("/v1/completions", "{\"model\":\"leaf\"}"))
    }

    @Test
    fun `a number of tokens below one is refused`(): Unit = runBlocking {
        expectRefused(400, "invalid-request", harness.post("/v1/chat/completions", GatewayHarness.chat(tokens = 0)))
    }

    @Test
    fun `an unknown model is refused`(): Unit = runBlocking {
        val body = GatewayHarness.chat(model = "root")
        expectRefused(404, "unknown-model", harness.post("/v1/chat/completions", body))
    }

    @Test
    fun `an unknown service group is refused`(): Unit = runBlocking {
        expectRefused(404, "unknown-group", harness.post("/services/none/pay", ""))
    }

    @Test
    fun `an unknown path is refused`(): Unit = runBlocking {
        expectRefused(404, "unknown-path", harness.post("/v2/chat", ""))
    }

    @Test
    fun `a wrong method is refused`(): Unit = runBlocking {
        expectRefused(405, "wrong-method", harness.send(HttpMethod.GET, "/v1/completions"))
    }

    @Test
    fun `a body over the limit is refused before it is read`(): Unit = runBlocking {
        expectRefused(413, "body-too-large", harness.post("/v1/chat/completions", "x".repeat(2_001)))
    }

    @Test
    fun `a chunked body over the limit is refused`(): Unit = runBlocking {
        val chunk = "7d1\r\n" + "x".repeat(2_001) + "\r\n0\r\n\r\n"
        val answer = raw(head + listOf("Transfer-Encoding: chunked", "", ""), chunk)
        expectThat(answer).contains("413").contains("body-too-large")
        expectNothingLeft()
    }

    @Test
    fun `a body that is not UTF-8 is refused`(): Unit = runBlocking {
        val body = Buffer.buffer(byteArrayOf('{'.code.toByte(), 0xC3.toByte(), 0x28))
        expectRefused(400, "invalid-text", harness.send(HttpMethod.POST, "/v1/chat/completions", body))
    }

    @Test
    fun `a missing key is refused`(): Unit = runBlocking {
        expectRefused(401, "missing-key", harness.post("/v1/chat/completions", GatewayHarness.chat(), key = null))
    }

    @Test
    fun `a wrong key is refused`(): Unit = runBlocking {
        expectRefused(401, "wrong-key", harness.post("/v1/chat/completions", GatewayHarness.chat(), key = "guess"))
    }

    @Test
    fun `headers over the limit are refused`(): Unit = runBlocking {
        val headers = mapOf("X-Padding" to "x".repeat(20_000))
        val body = Buffer.buffer(GatewayHarness.chat())
        val answer = harness.send(HttpMethod.POST, "/v1/chat/completions", body, headers = headers)
        expectRefused(431, "headers-too-large", answer)
    }

    @Test
    fun `a request line over the limit is refused`(): Unit = runBlocking {
        expectRefused(414, "path-too-long", harness.send(HttpMethod.GET, "/" + "x".repeat(20_000)))
    }

    @Test
    fun `a sender that is slow with the body is refused`(): Unit = runBlocking {
        val answer = raw(head + listOf("Content-Length: 100", "", ""), "{")
        expectThat(answer).contains("408").contains("slow-sender")
        expectNothingLeft()
    }

    @Test
    fun `a sender that is slow with the head is cut off`(): Unit = runBlocking {
        expectThat(raw(head.take(2))).isEmpty()
        expectNothingLeft()
    }

    @Test
    fun `bytes that are not HTTP are refused`(): Unit = runBlocking {
        expectThat(raw(listOf("\u0001\u0002 nonsense", "", ""))).contains("400")
        expectNothingLeft()
    }

    @Test
    fun `a caller that disconnects within the body leaves nothing behind`(): Unit = runBlocking {
        withContext(Dispatchers.IO) {
            call("Content-Length: 100", "{").use { harness.eventually { harness.running() == 1 } }
        }
        expectNothingLeft()
    }

    @Test
    fun `a caller that disconnects cancels its attempt`(): Unit = runBlocking {
        withContext(Dispatchers.IO) {
            chat().use { harness.eventually { engine.requests.isNotEmpty() } }
        }
        harness.eventually { engine.cancelled.isNotEmpty() && harness.running() == 0 }
        expectThat(engine.requests.map { it.attempt.value }).isEqualTo(engine.cancelled)
        expectThat(harness.queued()).isEqualTo(0)
    }

    @Test
    fun `a caller that disconnects while its request waits gives its place in the queue back`(): Unit = runBlocking {
        withContext(Dispatchers.IO) {
            val served = List(LimitsDeclaration().coldLimit) { chat() }
            harness.eventually { engine.requests.size == served.size }
            chat().use { harness.eventually { harness.queued() == 1 } }
            harness.eventually { harness.queued() == 0 && harness.running() == served.size }
            served.forEach { it.close() }
        }
        harness.eventually { harness.running() == 0 }
        expectThat(engine.requests.size).isEqualTo(LimitsDeclaration().coldLimit)
    }

    private fun chat(): Socket = GatewayHarness.chat().let { call("Content-Length: ${it.length}", it) }

    /** Sends a request and leaves the connection open. */
    private fun call(length: String, body: String): Socket = Socket("127.0.0.1", harness.ports.callers).apply {
        getOutputStream().write(((head + listOf(length, "", "")).joinToString("\r\n") + body).toByteArray())
        getOutputStream().flush()
    }
}
