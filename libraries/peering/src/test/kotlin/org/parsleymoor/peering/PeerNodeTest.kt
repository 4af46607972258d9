package org.parsleymoor.peering

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.parsleymoor.core.AttemptId
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.OrganisationId
import org.parsleymoor.core.RegionId
import org.parsleymoor.core.RequestId
import org.parsleymoor.core.WeightVersion
import org.parsleymoor.core.ZoneId
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

class PeerNodeTest {
    private val nodes = mutableListOf<PeerNode>()
    private val selector = SelectorManager(Dispatchers.IO)

    @AfterEach
    fun close() {
        nodes.forEach { it.close() }
        selector.close()
    }

    @Test
    fun `answers reach the exchange that asked when two exchanges are open`(): Unit = runBlocking {
        val server = node("a", EchoHandler())
        val client = node("b", EchoHandler())
        val link = requireNotNull(client.node.connect(InstanceId("a"), server.address).get())
        val first = requireNotNull(link.open { forward(it, "first") }.get())
        val second = requireNotNull(link.open { forward(it, "second") }.get())
        expectThat(second.receive().get()).isA<PeerMessage.Chunk>().get { text }.isEqualTo("second")
        expectThat(first.receive().get()).isA<PeerMessage.Chunk>().get { text }.isEqualTo("first")
    }

    @Test
    fun `both sides can open exchanges on one connection`(): Unit = runBlocking {
        val connected = CompletableDeferred<PeerLink>()
        val server = node(
            "a",
            object : EchoHandler() {
                override suspend fun onConnected(link: PeerLink) {
                    connected.complete(link)
                }
            }
        )
        val client = node("b", EchoHandler())
        val link = requireNotNull(client.node.connect(InstanceId("a"), server.address).get())
        val fromClient = requireNotNull(link.open { forward(it, "forth") }.get())
        val fromServer = requireNotNull(connected.await().open { forward(it, "back") }.get())
        expectThat(fromClient.receive().get()).isA<PeerMessage.Chunk>().get { text }.isEqualTo("forth")
        expectThat(fromServer.receive().get()).isA<PeerMessage.Chunk>().get { text }.isEqualTo("back")
    }

    @Test
    fun `an oversized frame closes its own connection and no other`(): Unit = runBlocking {
        val server = node("a", EchoHandler())
        val client = node("b", EchoHandler())
        val link = requireNotNull(client.node.connect(InstanceId("a"), server.address).get())
        val closed = isClosedAfter(server.port) { output -> output.writeInt(Int.MAX_VALUE) }
        expectThat(closed).isEqualTo(true)
        expectThat(link.open { forward(it, "still open") }.get()).isNotNull()
        expectThat(link.failure).isNull()
    }

    /**
     * Guards against omitting the version as a default value, for which each receiver would substitute its own version.
     */
    @Test
    fun `an encoded Hello message contains its protocol version`() {
        val hello = PeerMessage.Hello(Incarnation(InstanceId("a"), 1), ZoneId("z"), RegionId("r"), "")

        val frame = FrameCodec(PeerOptions().frameLimitBytes).encode(hello).get()

        expectThat(String(requireNotNull(frame), Charsets.ISO_8859_1).contains("protocolVersion")).isEqualTo(true)
    }

    @Test
    fun `an undecodable frame closes its own connection and no other`(): Unit = runBlocking {
        val server = node("a", EchoHandler())
        val client = node("b", EchoHandler())
        val link = requireNotNull(client.node.connect(InstanceId("a"), server.address).get())
        val closed = isClosedAfter(server.port) { output ->
            output.writeInt(3)
            output.writeByteArray(byteArrayOf(1, 2, 3))
        }
        expectThat(closed).isEqualTo(true)
        expectThat(link.failure).isNull()
    }

    @Test
    fun `a connection that is silent after the handshake is closed at the silence limit`(): Unit = runBlocking {
        val ended = Channel<PeerFailure?>(1)
        val handler = object : EchoHandler() {
            override suspend fun onDisconnected(link: PeerLink) {
                ended.send(link.failure)
            }
        }
        val server = node("a", handler, PeerOptions(silenceMillis = 200))
        val client = node("b", EchoHandler())
        // The limit holds for the handshake too, which a busy machine may not finish in time at the first attempt.
        client.node.keepConnectedTo(mapOf(InstanceId("a") to server.address))
        expectThat(withTimeout(WAIT_MILLIS) { ended.receive() }).isA<PeerFailure.Silent>()
    }

    @Test
    fun `a neighbour is reconnected after its connection was closed`(): Unit = runBlocking {
        val connections = Channel<PeerLink>(Channel.UNLIMITED)
        val server = node(
            "a",
            object : EchoHandler() {
                override suspend fun onConnected(link: PeerLink) {
                    connections.send(link)
                }
            }
        )
        val client = node("b", EchoHandler(), PeerOptions(heartbeatMillis = 50))
        client.node.keepConnectedTo(mapOf(InstanceId("a") to server.address))
        withTimeout(WAIT_MILLIS) { connections.receive() }.close()
        expectThat(withTimeout(WAIT_MILLIS) { connections.receive() }.failure).isNull()
    }

    @Test
    fun `instances that dial each other at once keep one connection and none falls silent`(): Unit = runBlocking {
        val ended = Channel<PeerFailure?>(Channel.UNLIMITED)
        val handler = object : EchoHandler() {
            override suspend fun onDisconnected(link: PeerLink) {
                ended.send(link.failure)
            }
        }
        val options = PeerOptions(heartbeatMillis = 50, silenceMillis = 1_000)
        val nodeA = node("a", handler, options)
        val nodeB = node("b", handler, options)
        nodeA.node.keepConnectedTo(mapOf(InstanceId("b") to nodeB.address))
        nodeB.node.keepConnectedTo(mapOf(InstanceId("a") to nodeA.address))
        repeat(60) {
            listOf(nodeA, nodeB).forEach { it.node.broadcast(PeerMessage.Heartbeat(1)) }
            delay(50)
        }
        val failures = generateSequence { ended.tryReceive().getOrNull() }.toList()
        expectThat(failures.filterIsInstance<PeerFailure.Silent>()).isEqualTo(emptyList())
        expectThat(nodeA.node.connected).hasSize(1)
        expectThat(nodeB.node.connected).hasSize(1)
    }

    @Test
    fun `a peer with another protocol version is rejected`(): Unit = runBlocking {
        val server = node("a", EchoHandler())
        val hello = PeerMessage.Hello(Incarnation(InstanceId("old"), 1), zone, region, "", protocolVersion = 0)
        val frame = requireNotNull(FrameCodec(1_024).encode(hello).get())
        val closed = isClosedAfter(server.port) { output ->
            output.writeInt(frame.size)
            output.writeByteArray(frame)
        }
        expectThat(closed).isEqualTo(true)
        expectThat(server.node.connected).isEqualTo(emptyList())
    }

    @Test
    fun `a message over the frame limit is rejected before it is sent`(): Unit = runBlocking {
        val server = node("a", EchoHandler())
        val client = node("b", EchoHandler(), PeerOptions(frameLimitBytes = 1_024))
        val link = requireNotNull(client.node.connect(InstanceId("a"), server.address).get())
        expectThat(link.open { forward(it, "x".repeat(2_000)) }.getError()).isA<PeerFailure.FrameSize>()
        expectThat(link.failure).isNull()
    }

    @Test
    fun `connecting to a port without a listener returns NotConnected`(): Unit = runBlocking {
        val client = node("b", EchoHandler())
        val failure = client.node.connect(InstanceId("a"), "127.0.0.1:1").getError()
        expectThat(failure).isA<PeerFailure.NotConnected>()
    }

    /**
     * Connects to [port], reads the server's Hello message, sends bytes with [write] and returns whether the server
     * closed the connection.
     */
    private suspend fun isClosedAfter(
        port: Int,
        write: suspend (io.ktor.utils.io.ByteWriteChannel) -> Unit,
    ): Boolean {
        val socket = aSocket(selector).tcp().connect("127.0.0.1", port)
        val input = socket.openReadChannel()
        val output = socket.openWriteChannel(autoFlush = true)
        input.readByteArray(input.readInt())
        write(output)
        return withTimeout(WAIT_MILLIS) { !input.awaitContent() }
    }

    private suspend fun node(name: String, handler: PeerHandler, options: PeerOptions = PeerOptions()): RunningNode {
        val node = PeerNode(PeerIdentity(Incarnation(InstanceId(name), 1), zone, region), handler, options)
        nodes += node
        return RunningNode(node, node.start("127.0.0.1", 0))
    }

    private fun forward(exchange: Long, text: String) = PeerMessage.Forward(
        exchange,
        EndpointId("engine"),
        ForwardedCompletion(
            request = RequestId("r"),
            attempt = AttemptId("r.0"),
            organisation = OrganisationId("o"),
            model = ModelId("m"),
            version = WeightVersion("1"),
            maximumTokens = 1,
            textPieces = ByteArray(0),
            contextHash = "",
            tail = text.encodeToByteArray(),
        ),
    )

    private class RunningNode(val node: PeerNode, val port: Int) {
        val address = "127.0.0.1:$port"
    }

    /** Answers a forwarded completion with its own text. */
    private open class EchoHandler : PeerHandler {
        override suspend fun onConnectionMessage(link: PeerLink, message: PeerMessage) = Unit

        override suspend fun onExchange(exchange: PeerExchange, opening: PeerMessage.ExchangeMessage) {
            val completion = (opening as PeerMessage.Forward).completion
            exchange.send(PeerMessage.Chunk(exchange.number, 0, completion.tail.decodeToString()))
            exchange.send(PeerMessage.Finished(exchange.number, 1, "stop"))
        }
    }

    private companion object {
        const val WAIT_MILLIS = 5_000L
        val zone = ZoneId("north-1")
        val region = RegionId("north")
    }
}
