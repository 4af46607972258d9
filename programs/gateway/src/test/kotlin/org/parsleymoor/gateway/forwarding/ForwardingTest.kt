package org.parsleymoor.gateway.forwarding

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.onEach
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import org.parsleymoor.clients.CacheEvents
import org.parsleymoor.clients.CacheSnapshot
import org.parsleymoor.clients.EndpointFailure
import org.parsleymoor.clients.EngineClient
import org.parsleymoor.clients.EngineEvent
import org.parsleymoor.clients.EngineLoad
import org.parsleymoor.clients.EngineOrder
import org.parsleymoor.clients.GenerateRequest
import org.parsleymoor.clients.TransferRequest
import org.parsleymoor.clients.TransferResult
import org.parsleymoor.core.AttemptId
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.FailureException
import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.OrganisationId
import org.parsleymoor.core.RegionId
import org.parsleymoor.core.RequestId
import org.parsleymoor.core.WeightVersion
import org.parsleymoor.core.ZoneId
import org.parsleymoor.peering.PeerExchange
import org.parsleymoor.peering.PeerHandler
import org.parsleymoor.peering.PeerIdentity
import org.parsleymoor.peering.PeerLink
import org.parsleymoor.peering.PeerMessage
import org.parsleymoor.peering.PeerNode
import org.parsleymoor.peering.PieceTextCache
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

class ForwardingTest {
    private val engine = FakeEngine()
    private var texts = PieceTextCache(1_000_000)
    private var open = true
    private val south = node(
        "south",
        object : PeerHandler {
            override suspend fun onConnectionMessage(link: PeerLink, message: PeerMessage) = Unit

            override suspend fun onExchange(exchange: PeerExchange, opening: PeerMessage.ExchangeMessage) {
                ForwardReceiver(texts) { engine.takeIf { open } }.serve(exchange, opening as PeerMessage.Forward)
            }
        }
    )
    private val north = node(
        "north",
        object : PeerHandler {
            override suspend fun onConnectionMessage(link: PeerLink, message: PeerMessage) = Unit

            override suspend fun onExchange(exchange: PeerExchange, opening: PeerMessage.ExchangeMessage) = Unit
        }
    )
    private val address = runBlocking {
        north.start("127.0.0.1", 0)
        "127.0.0.1:${south.start("127.0.0.1", 0)}"
    }
    private val client = ForwardingEngineClient(EndpointId("engine-1"), engine, SentTexts(), FreeMeter) {
        north.connect(InstanceId("south"), address)
    }

    @AfterEach
    fun close() {
        north.close()
        south.close()
    }

    @Test
    fun `the engine gets the whole prompt and the sender the whole answer`(): Unit = runBlocking {
        val events = client.generate(request(longPrompt)).toList()
        expectThat(engine.prompts).isEqualTo(mutableListOf(longPrompt))
        expectThat(events.filterIsInstance<EngineEvent.Token>().map { it.text }).isEqualTo(FakeEngine.TOKENS)
        expectThat(events.last()).isA<EngineEvent.Final>().get { tokens }.isEqualTo(FakeEngine.TOKENS.size)
    }

    @Test
    fun `a text that has crossed the link does not cross it again`(): Unit = runBlocking {
        val first = linkBytes { client.generate(request(longPrompt)).toList() }
        val second = linkBytes { client.generate(request(longPrompt + " and more")).toList() }
        expectThat(first).isGreaterThan(longPrompt.length.toLong())
        expectThat(second).isLessThan(longPrompt.length / 10L)
    }

    @Test
    fun `a receiver that lost the texts asks for them again`(): Unit = runBlocking {
        client.generate(request(longPrompt)).toList()
        texts = PieceTextCache(1_000_000)
        client.generate(request(longPrompt)).toList()
        expectThat(engine.prompts).isEqualTo(mutableListOf(longPrompt, longPrompt))
    }

    @Test
    fun `characters that are cut by a piece boundary arrive whole`(): Unit = runBlocking {
        val prompt = "x" + "ř".repeat(12_000)
        client.generate(request(prompt)).toList()
        expectThat(engine.prompts).isEqualTo(mutableListOf(prompt))
    }

    @Test
    fun `an endpoint that takes no new work is refused as not run`(): Unit = runBlocking {
        open = false
        val failure = failureOf { client.generate(request("short")).toList() }
        expectThat(failure).isA<EndpointFailure.Refused>().get { mayHaveRun }.isFalse()
        expectThat(engine.prompts).isEqualTo(mutableListOf())
    }

    @Test
    fun `an engine lost in mid-stream is reported as possibly run`(): Unit = runBlocking {
        engine.failure = EndpointFailure.Broken("engine", "reset")
        val failure = failureOf { client.generate(request("short")).toList() }
        expectThat(failure).isA<EndpointFailure.Broken>().get { mayHaveRun }.isEqualTo(true)
    }

    @Test
    fun `a connection lost in mid-stream is reported as possibly run`(): Unit = runBlocking {
        engine.endless = true
        val failure = failureOf {
            client.generate(request("short")).onEach { north.connected.forEach { it.close() } }.toList()
        }
        expectThat(failure).isA<EndpointFailure.Broken>().get { mayHaveRun }.isEqualTo(true)
    }

    @Test
    fun `a sender that gives up stops the engine`(): Unit = runBlocking {
        engine.endless = true
        client.generate(request("short")).first()
        withTimeout(WAIT_MILLIS) { engine.stopped.await() }
    }

    @Test
    fun `no gateway to forward to is refused as not run`(): Unit = runBlocking {
        south.close()
        val failure = failureOf { client.generate(request("short")).toList() }
        expectThat(failure).isA<EndpointFailure.NotConnected>()
    }

    private fun failureOf(work: suspend () -> Unit): EndpointFailure {
        val thrown = assertThrows<FailureException> { runBlocking { work() } }
        return thrown.failure as EndpointFailure
    }

    private suspend fun linkBytes(work: suspend () -> Unit): Long {
        val before = north.traffic.dataBytes
        work()
        return north.traffic.dataBytes - before
    }

    private fun request(prompt: String) = GenerateRequest(
        request = RequestId("r"),
        attempt = AttemptId("r.0"),
        organisation = OrganisationId("atelier"),
        model = ModelId("captions"),
        version = WeightVersion("1"),
        prompt = prompt,
        maximumTokens = 3,
    )

    private object FreeMeter : LinkMeter {
        override suspend fun send(organisation: OrganisationId, purpose: LinkPurpose, bytes: Long) = Unit
    }

    private class FakeEngine : EngineClient {
        val prompts = mutableListOf<String>()
        val stopped = CompletableDeferred<Unit>()
        var failure: EndpointFailure? = null
        var endless = false

        override fun generate(request: GenerateRequest, silenceMillis: Long): Flow<EngineEvent> = flow {
            prompts += request.prompt
            emit(EngineEvent.Started(request.attempt, 1, request.version, 0, request.pieces.size))
            failure?.let { throw FailureException(it) }
            TOKENS.forEachIndexed { index, text -> emit(EngineEvent.Token(request.attempt, index, text)) }
            if (endless) waitUntilStopped()
            emit(EngineEvent.Final(request.attempt, TOKENS.size))
        }

        private suspend fun waitUntilStopped() {
            try {
                awaitCancellation()
            } finally {
                stopped.complete(Unit)
            }
        }

        override suspend fun cancel(attempt: AttemptId): Result<Unit, EndpointFailure> = Ok(Unit)

        override suspend fun load(): Result<EngineLoad, EndpointFailure> = unused()

        override suspend fun cacheEvents(sequence: Long): Result<CacheEvents, EndpointFailure> = unused()

        override suspend fun cacheSnapshot(): Result<CacheSnapshot, EndpointFailure> = unused()

        override suspend fun export(transfer: TransferRequest): Result<TransferResult, EndpointFailure> = unused()

        override suspend fun import(transfer: TransferRequest): Result<TransferResult, EndpointFailure> = unused()

        override suspend fun order(order: EngineOrder): Result<EngineLoad, EndpointFailure> = unused()

        private fun unused() = Err(EndpointFailure.NotConnected("fake", "this call is not part of the test"))

        companion object {
            val TOKENS = listOf("one ", "two ", "three ")
        }
    }

    private companion object {
        const val WAIT_MILLIS = 5_000L
        val longPrompt = (1..3_000).joinToString(" ") { "Style rule $it." }

        fun node(name: String, handler: PeerHandler) =
            PeerNode(PeerIdentity(Incarnation(InstanceId(name), 1), ZoneId("$name-1"), RegionId(name)), handler)
    }
}
