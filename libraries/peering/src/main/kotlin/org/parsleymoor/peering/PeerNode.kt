package org.parsleymoor.peering

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.RegionId
import org.parsleymoor.core.ZoneId
import java.util.concurrent.ConcurrentHashMap

private val logger = KotlinLogging.logger {}

/** The identity that an instance announces to its peers. */
public data class PeerIdentity(
    public val incarnation: Incarnation,
    public val zone: ZoneId,
    public val region: RegionId,
) {
    internal fun hello(address: String): PeerMessage.Hello = PeerMessage.Hello(incarnation, zone, region, address)
}

/**
 * Manages an instance's connections to its peers. It accepts connections, keeps one open to each neighbour, replaces
 * those that fail or fall silent, and connects to other peers on demand. [close] closes all connections.
 */
public class PeerNode(
    private val identity: PeerIdentity,
    private val handler: PeerHandler,
    private val options: PeerOptions = PeerOptions(),
    dispatcher: CoroutineDispatcher = Dispatchers.Default,
) : AutoCloseable {
    private val scope = CoroutineScope(
        SupervisorJob() + dispatcher + CoroutineExceptionHandler { _, cause ->
            logger.error(cause) { "a coroutine of the connections to peers failed" }
        },
    )

    // The selector blocks its thread while it waits, and the default dispatcher has only a few threads.
    private val selector = SelectorManager(Dispatchers.IO)
    private val links = PeerLinks(identity.incarnation.instance)
    private val dialLocks = ConcurrentHashMap<InstanceId, Mutex>()
    private val counter = TrafficCounter()
    private val codec = FrameCodec(options.frameLimitBytes)
    private val server = PeerServer(selector, scope, options) { serve(PeerLink(it, false, handler, QUEUE_MESSAGES)) }

    @Volatile
    private var neighbours: Map<InstanceId, String> = emptyMap()

    @Volatile
    private var dialer: PeerDialer? = null

    /** The open links, at most one for each remote instance. */
    public val connected: List<PeerLink> get() = links.preferred()

    /** Frames and bytes that this node has sent since it was created. */
    public val traffic: PeerTraffic get() = counter.total()

    /** Binds to [host] and [port] (0 for any free port), starts accepting connections and returns the bound port. */
    public suspend fun start(host: String, port: Int): Int {
        server.counter = counter
        val bound = server.start(host, port) { identity.hello("$host:$it") }
        dialer = PeerDialer(selector, scope, identity.hello("$host:$bound"), options).also { it.counter = counter }
        scope.launch { maintainNeighbourLinks() }
        return bound
    }

    /** Sets the neighbours: instances to which a connection is kept open, with their addresses (`host:port`). */
    public fun keepConnectedTo(peers: Map<InstanceId, String>) {
        neighbours = peers - identity.incarnation.instance
    }

    /** Returns the open link to [instance], or connects to [address] if there is none. */
    public suspend fun connect(instance: InstanceId, address: String): Result<PeerLink, PeerFailure> =
        dialLocks.computeIfAbsent(instance) { Mutex() }.withLock {
            val existing = links[instance]
            if (existing != null) Ok(existing) else dial(address)
        }

    /** Sends [message] on every open link. */
    public suspend fun broadcast(message: PeerMessage) {
        send(message, links.all())
    }

    /**
     * Sends [message] on each link in [to], all of which belong to this node. The message is encoded once. Suspends
     * while the send queue of a link is full.
     */
    public suspend fun send(message: PeerMessage, to: Collection<PeerLink>) {
        if (to.isEmpty()) return
        codec.encode(message)
            .onSuccess { frame ->
                to.forEach { link ->
                    link.send(message, frame)
                        .onFailure { logger.debug { "could not send to ${link.remote.incarnation}: ${it.message}" } }
                }
            }
            .onFailure { logger.warn { "could not encode a message for peers: ${it.message}" } }
    }

    override fun close() {
        server.close()
        links.all().forEach { it.close() }
        scope.cancel()
        selector.close()
    }

    private suspend fun dial(address: String): Result<PeerLink, PeerFailure> {
        val startedDialer = dialer
        val port = address.substringAfterLast(':').toIntOrNull()?.takeIf { it in PORTS }
        return when {
            startedDialer == null -> Err(PeerFailure.Closed("this node has not been started"))
            port == null ->
                Err(PeerFailure.NotConnected(address, "not host:port with a port from 1 to 65535"))
            else -> startedDialer.dial(address.substringBeforeLast(':'), port).map { connection ->
                PeerLink(connection, true, handler, QUEUE_MESSAGES).also { link ->
                    links.add(link)
                    scope.launch { serve(link) }
                }
            }
        }
    }

    private suspend fun serve(link: PeerLink) {
        links.add(link)
        try {
            handler.onConnected(link)
            link.run(scope)
        } finally {
            // After an exception of the handler, nothing would read the connection any more.
            link.close()
            links.remove(link)
            handler.onDisconnected(link)
        }
    }

    private suspend fun maintainNeighbourLinks() {
        while (scope.isActive) {
            neighbours.filterKeys { links[it] == null }.forEach { (instance, address) ->
                scope.launch { connect(instance, address).onFailure { logger.debug { it.message } } }
            }
            links.redundant().forEach { it.close() }
            delay(options.heartbeatMillis)
        }
    }

    private companion object {
        const val QUEUE_MESSAGES = 4_096
        val PORTS = 1..65_535
    }
}
