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

/** Accepts connections from other gateways and hands each to [onConnection] after the handshake. */
public class PeerServer(
    private val selector: SelectorManager,
    private val scope: CoroutineScope,
    private val options: PeerOptions = PeerOptions(),
    private val onConnection: suspend (PeerConnection) -> Unit,
) : AutoCloseable {
    internal var traffic: TrafficCounter = TrafficCounter()
    private var listener: ServerSocket? = null

    /** Binds [host] and [port] (0 for a free one), accepts in the background and returns the bound port. */
    public suspend fun start(host: String, port: Int, identity: (boundPort: Int) -> PeerMessage.Hello): Int {
        val bound = aSocket(selector).tcp().bind(host, port) { reuseAddress = true }
        listener = bound
        val boundPort = (bound.localAddress as InetSocketAddress).port
        val hello = identity(boundPort)
        scope.launch { acceptAll(bound, hello) }
        return boundPort
    }

    override fun close() {
        listener?.close()
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
        logger.info(cause) { "the peer listener stopped" }
        null
    }

    private suspend fun serve(socket: Socket, hello: PeerMessage.Hello) {
        val caller = socket.remoteAddress
        handshake(socket, hello, options, traffic)
            .onSuccess {
                it.start(scope)
                onConnection(it)
            }
            .onFailure { logger.warn { "a connection from $caller was refused: ${it.message}" } }
    }
}
