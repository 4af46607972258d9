package org.parsleymoor.gateway

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.parsleymoor.clients.HttpAddress
import org.parsleymoor.clients.VertxEngineClient
import org.parsleymoor.core.EndpointId
import org.parsleymoor.standins.EngineSettings
import org.parsleymoor.standins.EngineStandIn
import org.parsleymoor.standins.ModelText
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.endsWith
import strikt.assertions.isEqualTo

class WholePathTest {
    private val vertx = Vertx.vertx()

    @AfterEach
    fun close() {
        vertx.close()
    }

    @Test
    fun `a whole answer carries every token of the engine`(): Unit = runBlocking {
        val answer = ask(stream = false)
        expectThat(answer).contains(ModelText.answer("leaf", "user: weigh this", 8))
    }

    @Test
    fun `a streamed answer ends with the done marker`(): Unit = runBlocking {
        val answer = ask(stream = true)
        expectThat(answer).endsWith("data: [DONE]\n\n")
        expectThat(answer.lines().count { "\"finish_reason\":\"stop\"" in it }).isEqualTo(1)
    }

    private suspend fun ask(stream: Boolean): String {
        val enginePort = EngineStandIn(vertx, EngineSettings(EndpointId("engine-1"))).start()
        val gatewayPort = GatewayServer(vertx, VertxEngineClient(vertx, HttpAddress("127.0.0.1", enginePort))).start()
        val messages = """[{"role":"user","content":"weigh this"}]"""
        val body = """{"model":"leaf","messages":$messages,"max_tokens":8,"stream":$stream}"""
        val response = WebClient.create(vertx).post(gatewayPort, "127.0.0.1", "/v1/chat/completions")
            .sendBuffer(Buffer.buffer(body)).coAwait()
        return response.bodyAsString()
    }
}
