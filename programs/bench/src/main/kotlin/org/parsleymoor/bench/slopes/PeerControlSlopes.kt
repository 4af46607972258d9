package org.parsleymoor.bench.slopes

import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.RegionId
import org.parsleymoor.core.ZoneId
import org.parsleymoor.core.rendezvousOrder
import org.parsleymoor.peering.EndpointLoadDigest
import org.parsleymoor.peering.PeerExchange
import org.parsleymoor.peering.PeerHandler
import org.parsleymoor.peering.PeerIdentity
import org.parsleymoor.peering.PeerLink
import org.parsleymoor.peering.PeerMessage
import org.parsleymoor.peering.PeerNode

/** What one daemon sends and computes for control at each number of daemons. */
internal data class PeerControlSlopes(val bytesPerSecond: Slope, val processorShare: Slope, val connections: Slope)

/** Runs [sizes] daemons' peer nodes on loopback for [seconds] each, with heartbeats once a second. */
internal class PeerControlMeasurement(
    private val sizes: List<Int>,
    private val seconds: Int,
    private val loadDigests: Int = LOAD_DIGESTS,
) {
    fun measure(): PeerControlSlopes {
        val runs = sizes.associateWith { size -> runBlocking { run(size) } }
        fun slope(name: String, unit: String, value: (Run) -> Double) =
            Slope(name, "daemons", unit, runs.map { (size, run) -> SlopePoint(size, value(run)) })
        return PeerControlSlopes(
            bytesPerSecond = slope("peer-control-bytes", "bytes/s per daemon") { it.bytesPerSecond },
            processorShare = slope("peer-control-processor", "% of a core per daemon") { it.processorShare },
            connections = slope("peer-connections", "connections per daemon") { it.connections },
        )
    }

    private suspend fun run(size: Int): Run {
        val nodes = start(size)
        awaitConnections(nodes)
        val sentBefore = nodes.sumOf { it.traffic.controlBytes }
        val startNanos = System.nanoTime()
        val processorNanos = ProcessMeter.processNanos { beat(nodes) }
        val elapsedNanos = System.nanoTime() - startNanos
        val sent = nodes.sumOf { it.traffic.controlBytes } - sentBefore
        val links = nodes.sumOf { it.connected.size }
        nodes.forEach { it.close() }
        return Run(
            bytesPerSecond = sent * NANOS_PER_SECOND / elapsedNanos / size,
            processorShare = processorNanos.toDouble() / elapsedNanos / size * PERCENT,
            connections = links.toDouble() / size,
        )
    }

    private suspend fun start(size: Int): List<PeerNode> {
        val names = (1..size).map { InstanceId("gateway-$it") }
        val nodes = names.map { PeerNode(PeerIdentity(Incarnation(it, 1), zone, region), IgnoringHandler) }
        val addresses = names.zip(nodes).associate { (name, node) -> name to listen(node) }
        names.zip(nodes).forEach { (name, node) ->
            val others = rendezvousOrder(name.value, names - name) { it.value }.take(NEIGHBOURS)
            node.keepConnectedTo(others.associateWith { addresses.getValue(it) })
        }
        return nodes
    }

    /** Waits until every node has its neighbours, and then until start-up work is over. */
    private suspend fun awaitConnections(nodes: List<PeerNode>) {
        val expected = minOf(NEIGHBOURS, nodes.size - 1)
        var checks = 0
        while (nodes.any { it.connected.size < expected } && checks++ < CONNECT_CHECKS) {
            nodes.forEach { it.broadcast(PeerMessage.Heartbeat(0)) }
            delay(SETTLE_MILLIS)
        }
        check(nodes.all { it.connected.size >= expected }) { "expected $expected connections of each node" }
        beat(nodes)
    }

    private suspend fun beat(nodes: List<PeerNode>) {
        val loads = (1..loadDigests).map { loadDigest(it) }
        repeat(seconds) { second ->
            nodes.forEach { it.broadcast(PeerMessage.Heartbeat(second.toLong(), loads = loads)) }
            delay(HEARTBEAT_MILLIS)
        }
    }

    private suspend fun listen(node: PeerNode): String = "$HOST:${node.start(HOST, 0)}"

    private fun loadDigest(index: Int) = EndpointLoadDigest(
        endpoint = EndpointId("engine-$index"),
        startCount = 1,
        running = index,
        queuedTokens = index * TOKENS_PER_REQUEST,
        cold = false,
        ageMillis = HEARTBEAT_MILLIS,
    )

    private data class Run(val bytesPerSecond: Double, val processorShare: Double, val connections: Double)

    private object IgnoringHandler : PeerHandler {
        override suspend fun onConnectionMessage(link: PeerLink, message: PeerMessage) = Unit

        override suspend fun onExchange(exchange: PeerExchange, opening: PeerMessage.ExchangeMessage) = Unit
    }

    private companion object {
        const val HOST = "127.0.0.1"
        const val TOKENS_PER_REQUEST = 1_000L
        const val NEIGHBOURS = 8
        const val LOAD_DIGESTS = 4
        const val HEARTBEAT_MILLIS = 1_000L
        const val SETTLE_MILLIS = 1_000L
        const val CONNECT_CHECKS = 30
        const val NANOS_PER_SECOND = 1e9
        const val PERCENT = 100.0
        val zone = ZoneId("north-1")
        val region = RegionId("north")
    }
}
