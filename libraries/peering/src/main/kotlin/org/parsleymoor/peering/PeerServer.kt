package org.parsleymoor.peering

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.io.IOException

private val logger = KotlinLogging.logger {}

/** Accepts connections from peers and passes each to [onConnection] after a successful handshake. */
public class PeerServer(
    private val selector: SelectorManager,
    private val scope: CoroutineScope,
    private val options: PeerOptions = PeerOptions(),
    private val onConnection: suspend (PeerConnection) -> Unit,
) : AutoCloseable {
    internal var counter: TrafficCounter = TrafficCounter()
    private var serverSocket: ServerSocket? = null

    /**
     * Binds to [host] and [port] (0 for any free port), accepts connections in the background and returns the bound
     * port. [createHello] returns the message that is sent in each handshake.
     */
    public suspend fun start(host: String, port: Int, createHello: (boundPort: Int) -> PeerMessage.Hello): Int {
        val bound = aSocket(selector).tcp().bind(host, port) { reuseAddress = true }
        serverSocket = bound
        val boundPort = (bound.localAddress as InetSocketAddress).port
        val hello = createHello(boundPort)
        scope.launch { acceptAll(bound, hello) }
        return boundPort
    }

    override fun close() {
        serverSocket?.close()
    }

    private suspend fun acceptAll(bound: ServerSocket, hello: PeerMessage.Hello) {
        while (scope.isActive) {
            val socket = acceptOne(bound) ?: return
            scope.launch { serve(socket, hello) }
        }
    }

    private suspend fun acceptOne(bound: ServerSocket): Socket? = try {
        bound.accept()
    } catch (cause: IOException) {
        logger.info(cause) { "stopped accepting peer connections" }
        null
    }

    private suspend fun serve(socket: Socket, hello: PeerMessage.Hello) {
        val peerAddress = socket.remoteAddress
        handshake(socket, hello, options, counter)
            .onSuccess {
                it.start(scope)
                onConnection(it)
            }
            .onFailure { logger.warn { "rejected a peer connection from $peerAddress: ${it.message}" } }
    }
}
