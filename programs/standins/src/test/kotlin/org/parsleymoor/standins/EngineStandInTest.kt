package org.parsleymoor.standins

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.unwrap
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.async
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.toList
import kotlinx.serialization.builtins.ListSerializer
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.parsleymoor.clients.DesiredState
import org.parsleymoor.clients.EndpointFailure
import org.parsleymoor.clients.EngineEvent
import org.parsleymoor.clients.EngineOrder
import org.parsleymoor.clients.EngineRefusalReason
import org.parsleymoor.clients.GenerateRequest
import org.parsleymoor.clients.HttpAddress
import org.parsleymoor.clients.TransferPiece
import org.parsleymoor.clients.TransferRequest
import org.parsleymoor.clients.VertxEngineClient
import org.parsleymoor.clients.WireJson
import org.parsleymoor.core.AttemptId
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.Failure
import org.parsleymoor.core.FailureException
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.OrganisationId
import org.parsleymoor.core.RequestId
import org.parsleymoor.core.WeightVersion
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.get
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

class EngineStandInTest {
    private val vertx = Vertx.vertx()
    private val web = WebClient.create(vertx)
    private val settings = EngineSettings(EndpointId("engine-1"), prefillMillisPerPiece = 1, millisPerToken = 1)

    @AfterEach
    fun close() {
        vertx.close()
    }

    @Test
    fun `a prompt that returns finds its pieces in the cache`(): Unit = vertx.onEventLoop {
        val engine = client(start(settings))
        engine.generate(request("a", listOf("p1", "p2"))).toList()
        val started = engine.generate(request("b", listOf("p1", "p2", "p3"))).first() as EngineEvent.Started
        expectThat(started.cachedPieces).isEqualTo(2)
        expectThat(started.recomputedPieces).isEqualTo(1)
    }

    @Test
    fun `the cache frees the pieces used longest ago`(): Unit = vertx.onEventLoop {
        val engine = client(start(settings.copy(bytesPerPiece = 10, cacheBytes = 20)))
        engine.generate(request("a", listOf("p1"))).toList()
        engine.generate(request("b", listOf("p2", "p3"))).toList()
        val started = engine.generate(request("c", listOf("p1"))).first() as EngineEvent.Started
        expectThat(started.cachedPieces).isEqualTo(0)
    }

    @Test
    fun `a resumed attempt continues the answer of the first`(): Unit = vertx.onEventLoop {
        val engine = client(start(settings))
        val resumed = request("a", emptyList()).copy(resumeAfterTokens = 3)
        val text = engine.generate(resumed).toList().filterIsInstance<EngineEvent.Token>().joinToString("") { it.text }
        expectThat(ModelText.answer("leaf", PROMPT, 3) + text).isEqualTo(ModelText.answer("leaf", PROMPT, TOKENS))
    }

    @Test
    fun `a cold engine refuses more than its limit`(): Unit = vertx.onEventLoop {
        val engine = client(start(settings.copy(startsCold = true, coldLimit = 1, millisPerToken = 20)))
        val running = async { engine.generate(request("a", emptyList())).toList() }
        awaitRunning(engine)
        val failure = failureOf { engine.generate(request("b", emptyList())).toList() }
        expectThat(failure).isA<EndpointFailure.Refused>().get { refusal.reason }
            .isEqualTo(EngineRefusalReason.COLD)
        running.await()
    }

    @Test
    fun `a cold engine that falls over breaks running streams and counts a start`(): Unit = vertx.onEventLoop {
        val falling = settings.copy(
            startsCold = true,
            coldLimit = 1,
            coldOverload = ColdOverload.FALL_OVER,
            millisPerToken = 20,
            restartMillis = 50,
        )
        val engine = client(start(falling))
        val running = async { runCatching { engine.generate(request("a", emptyList())).toList() } }
        awaitRunning(engine)
        runCatching { engine.generate(request("b", emptyList())).toList() }
        expectThat(running.await().exceptionOrNull()).isA<FailureException>()
        awaitUntil { engine.load().isOk && engine.load().unwrap().startCount == 2L }
    }

    @Test
    fun `an order with a lower fencing token is refused only by an engine that checks it`(): Unit = vertx.onEventLoop {
        val checking = client(start(settings))
        val ignoring = client(start(settings.copy(fencing = Fencing.IGNORED)))
        checking.order(order("a", fencing = 2))
        ignoring.order(order("a", fencing = 2))
        expectThat(checking.order(order("b", fencing = 1)).getError()).isA<EndpointFailure.Refused>()
        expectThat(ignoring.order(order("b", fencing = 1)).isOk).isEqualTo(true)
    }

    @Test
    fun `a version that is loading is not served until its weights are complete`(): Unit = vertx.onEventLoop {
        val engine = client(start(settings.copy(weightLoadMillis = 50)))
        engine.order(order("a", fencing = 1))
        val failure = failureOf { engine.generate(request("a", emptyList())).toList() }
        expectThat(failure).isA<EndpointFailure.Refused>()
        awaitUntil { engine.load().unwrap().versions.any { !it.loading } }
        expectThat(engine.generate(request("b", emptyList())).toList().last()).isA<EngineEvent.Final>()
    }

    @Test
    fun `a connection that went silent answers nothing while a new one works`(): Unit = vertx.onEventLoop {
        val port = start(settings.copy(millisPerToken = 20))
        val engine = client(port)
        val running = async { runCatching { engine.generate(request("a", emptyList()), SILENCE_MILLIS).toList() } }
        awaitRunning(client(port))
        setFaults(port, EngineFaults(silenceOpenConnections = true))
        val failure = running.await().exceptionOrNull() as FailureException
        expectThat(failure.failure).isA<EndpointFailure.Silent>()
        expectThat(client(port).generate(request("b", emptyList())).toList().last()).isA<EngineEvent.Final>()
    }

    @Test
    fun `dropped cache events show as a gap`(): Unit = vertx.onEventLoop {
        val port = start(settings.copy(eventLagMillis = 0))
        val engine = client(port)
        setFaults(port, EngineFaults(dropCacheEvents = 2))
        engine.generate(request("a", listOf("p1", "p2", "p3"))).toList()
        val events = engine.cacheEvents(0).unwrap()
        expectThat(events.oldestSequence).isEqualTo(3)
        expectThat(events.events.map { it.piece }).containsExactly("p3")
    }

    @Test
    fun `an exported block is imported by another engine under its generation`(): Unit = vertx.onEventLoop {
        val store = "127.0.0.1:${StoreStandIn(vertx, StoreSettings(EndpointId("store-1"))).start()}"
        val first = client(start(settings))
        val second = client(start(settings))
        first.generate(request("a", listOf("p1"))).toList()
        val exported = first.export(TransferRequest(store, listOf(TransferPiece("p1")))).unwrap()
        second.import(TransferRequest(store, exported.copied)).unwrap()
        val started = second.generate(request("b", listOf("p1"))).first() as EngineEvent.Started
        expectThat(started.cachedPieces).isEqualTo(1)
    }

    @Test
    fun `a block that was written in part is not imported`(): Unit = vertx.onEventLoop {
        val storePort = StoreStandIn(vertx, StoreSettings(EndpointId("store-1"))).start()
        val store = "127.0.0.1:$storePort"
        val engine = client(start(settings))
        engine.generate(request("a", listOf("p1"))).toList()
        post(storePort, WireJson.encodeToString(StoreFaults.serializer(), StoreFaults(partialWrites = 1)))
        engine.export(TransferRequest(store, listOf(TransferPiece("p1", 1)))).unwrap()
        val imported = engine.import(TransferRequest(store, listOf(TransferPiece("p1", 1)))).unwrap()
        expectThat(imported.copied).isEmpty()
    }

    @Test
    fun `the journal counts blocks that another organisation computed`(): Unit = vertx.onEventLoop {
        val port = start(settings)
        val engine = client(port)
        engine.generate(request("a", listOf("p1"))).toList()
        engine.generate(request("b", listOf("p1")).copy(organisation = OrganisationId("other"))).toList()
        val text = web.get(port, "127.0.0.1", "/journal").send().coAwait().bodyAsString()
        val runs = WireJson.decodeFromString(ListSerializer(EngineRun.serializer()), text)
        expectThat(runs)[1].get { foreignPieces }.isEqualTo(1)
        expectThat(runs)[0].get { endedAtMillis }.isGreaterThan(0)
    }

    private suspend fun failureOf(call: suspend () -> Unit): Failure? =
        (runCatching { call() }.exceptionOrNull() as? FailureException)?.failure

    private suspend fun start(settings: EngineSettings): Int = EngineStandIn(vertx, settings).start()

    private fun client(port: Int) = VertxEngineClient(vertx, HttpAddress("127.0.0.1", port))

    private fun request(attempt: String, pieces: List<String>) = GenerateRequest(
        request = RequestId(attempt),
        attempt = AttemptId(attempt),
        organisation = OrganisationId("estate"),
        model = ModelId("leaf"),
        version = WeightVersion("2"),
        prompt = PROMPT,
        pieces = pieces,
        maximumTokens = TOKENS,
    )

    private fun order(id: String, fencing: Long) =
        EngineOrder(id, fencing, DesiredState.Loaded(ModelId("leaf"), WeightVersion("2")))

    private suspend fun awaitRunning(engine: VertxEngineClient) {
        awaitUntil { engine.load().unwrap().running > 0 }
    }

    private suspend fun setFaults(port: Int, faults: EngineFaults) {
        post(port, WireJson.encodeToString(EngineFaults.serializer(), faults))
    }

    private suspend fun post(port: Int, body: String) {
        web.post(port, "127.0.0.1", "/faults").sendBuffer(Buffer.buffer(body)).coAwait()
    }

    private companion object {
        const val PROMPT = "weigh this"
        const val TOKENS = 20
        const val SILENCE_MILLIS = 200L
    }
}
