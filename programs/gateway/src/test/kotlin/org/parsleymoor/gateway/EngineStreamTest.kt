package org.parsleymoor.gateway

import io.vertx.core.Vertx
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.onEach
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import org.parsleymoor.clients.EngineEvent
import org.parsleymoor.clients.GenerateRequest
import org.parsleymoor.clients.HttpAddress
import org.parsleymoor.clients.VertxEngineClient
import org.parsleymoor.core.AttemptId
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.OrganisationId
import org.parsleymoor.core.RequestId
import org.parsleymoor.core.WeightVersion
import org.parsleymoor.gateway.ScriptedEngine.Companion.answer
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo

/** Guards against lost lines of a whole answer that arrives faster than it is read. */
@Timeout(30)
class EngineStreamTest {
    private val vertx = Vertx.vertx()

    @AfterEach
    fun close() {
        vertx.close()
    }

    private suspend fun read(tokens: Int, delayMillis: Long): List<EngineEvent> {
        val engine = ScriptedEngine(vertx) { request, response -> response.answer(request, List(tokens) { "$it " }) }
        val client = VertxEngineClient(vertx, HttpAddress("127.0.0.1", engine.start()))
        val request = GenerateRequest(
            request = RequestId("r"),
            attempt = AttemptId("r.0"),
            organisation = OrganisationId("tea"),
            model = ModelId("leaf"),
            version = WeightVersion("1"),
            prompt = "weigh this",
            maximumTokens = tokens,
        )
        return client.generate(request).onEach { delay(delayMillis) }.toList()
    }

    @Test
    fun `a slow reader gets the last line of an answer that has ended`(): Unit = runBlocking {
        val events = read(tokens = 20, delayMillis = 20)
        expectThat(events.size).isEqualTo(22)
        expectThat(events.last()).isA<EngineEvent.Final>()
    }

    @Test
    fun `a slow reader gets every line of an answer longer than what is kept waiting`(): Unit = runBlocking {
        val events = read(tokens = 2_000, delayMillis = 1)
        expectThat(events.filterIsInstance<EngineEvent.Token>().map { it.sequence }).isEqualTo(List(2_000) { it })
        expectThat(events.last()).isA<EngineEvent.Final>()
    }
}
