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

/** What a gateway says of itself to its peers. */
public data class PeerIdentity(
    public val incarnation: Incarnation,
    public val zone: ZoneId,
    public val region: RegionId,
) {
    internal fun hello(address: String): PeerMessage.Hello = PeerMessage.Hello(incarnation, zone, region, address)
}

/**
 * A gateway's connections to other gateways: accepts theirs, keeps one to each neighbour open and replaces those that
 * break or fall silent. Connects to others on demand. [close] ends all of them.
 */
public class PeerNode(
    private val identity: PeerIdentity,
    private val handler: PeerHandler,
    private val options: PeerOptions = PeerOptions(),
    dispatcher: CoroutineDispatcher = Dispatchers.Default,
) : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + dispatcher)

    // A selector blocks its thread while it waits, which would take one of the few threads of the default dispatcher.
    private val selector = SelectorManager(Dispatchers.IO)
    private val links = PeerLinks(identity.incarnation.instance)
    private val dialling = ConcurrentHashMap<InstanceId, Mutex>()
    private val counter = TrafficCounter()
    private val codec = FrameCodec(options.frameLimitBytes)
    private val server = PeerServer(selector, scope, options) { serve(PeerLink(it, false, handler, QUEUED_MESSAGES)) }

    @Volatile
    private var neighbours: Map<InstanceId, String> = emptyMap()

    @Volatile
    private var dialer: PeerDialer? = null

    /** The open connections, at most one for each remote instance. */
    public val connected: List<PeerLink> get() = links.preferred()

    /** What this node has sent since its start. */
    public val traffic: PeerTraffic get() = counter.total()

    /** Binds [host] and [port] (0 for a free one), starts accepting and returns the bound port. */
    public suspend fun start(host: String, port: Int): Int {
        server.traffic = counter
        val bound = server.start(host, port) { identity.hello("$host:$it") }
        dialer = PeerDialer(selector, scope, identity.hello("$host:$bound"), options).also { it.traffic = counter }
        scope.launch { keepNeighbours() }
        return bound
    }

    /** Sets the instances (with `host:port`) that connections are kept to. */
    public fun keepConnectedTo(peers: Map<InstanceId, String>) {
        neighbours = peers - identity.incarnation.instance
    }

    /** Returns the open connection to [instance] or makes one to [address]. */
    public suspend fun connect(instance: InstanceId, address: String): Result<PeerLink, PeerFailure> =
        dialling.computeIfAbsent(instance) { Mutex() }.withLock {
            val open = links[instance]
            if (open != null) Ok(open) else dial(address)
        }

    /** Sends [message] on every open connection. */
    public suspend fun broadcast(message: PeerMessage) {
        send(message, links.all())
    }

    /**
     * Sends [message] on each of [to], which are connections of this node. It is encoded once; a slow connection is
     * waited for when its queue is full.
     */
    public suspend fun send(message: PeerMessage, to: Collection<PeerLink>) {
        if (to.isEmpty()) return
        codec.encode(message)
            .onSuccess { frame ->
                to.forEach { link ->
                    link.send(message, frame)
                        .onFailure { logger.debug { "${link.remote.incarnation}: ${it.message}" } }
                }
            }
            .onFailure { logger.warn { "a message was not sent: ${it.message}" } }
    }

    override fun close() {
        server.close()
        links.all().forEach { it.close() }
        scope.cancel()
        selector.close()
    }

    private suspend fun dial(address: String): Result<PeerLink, PeerFailure> {
        val started = dialer
        val port = address.substringAfterLast(':').toIntOrNull()
        return when {
            started == null -> Err(PeerFailure.Closed("this gateway has not started"))
            port == null -> Err(PeerFailure.NotConnected(address, "not of the form host:port"))
            else -> started.dial(address.substringBeforeLast(':'), port).map { connection ->
                PeerLink(connection, true, handler, QUEUED_MESSAGES).also { link ->
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
            links.remove(link)
            handler.onDisconnected(link)
        }
    }

    private suspend fun keepNeighbours() {
        while (scope.isActive) {
            neighbours.filterKeys { links[it] == null }.forEach { (instance, address) ->
                scope.launch { connect(instance, address).onFailure { logger.debug { it.message } } }
            }
            links.surplus().forEach { it.close() }
            delay(options.heartbeatMillis)
        }
    }

    private companion object {
        const val QUEUED_MESSAGES = 4_096
    }
}
