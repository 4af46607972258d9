package org.parsleymoor.entry.callers

import io.vertx.core.Vertx
import io.vertx.core.net.NetServer
import io.vertx.core.net.NetServerOptions
import io.vertx.core.net.NetSocket
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.parsleymoor.entry.net.abort
import org.parsleymoor.relay.fleet.SocketAddress
import java.util.concurrent.TimeUnit

/** Accepts connections on one address and serves each in a coroutine of [scope]. */
internal class CallerServer(
    private val vertx: Vertx,
    private val scope: CoroutineScope,
    private val context: CallerContext,
) {
    private val connections = HashSet<CallerConnection>()
    private val shedder = ConnectionShedder(context, connections)
    private var server: NetServer? = null

    /** Number of open connections that are not being closed. */
    val openConnections: Int get() = connections.count { it.serving }

    /** Whether a request is being read or handled. */
    val busy: Boolean get() = connections.any { !it.idle }

    /** Listens on [address]. */
    suspend fun start(address: SocketAddress) {
        val options = NetServerOptions().setHost(address.host).setPort(address.port).setAcceptBacklog(BACKLOG)
            .setReuseAddress(true).setTcpNoDelay(true)
        server = vertx.createNetServer(options).connectHandler { accept(it) }.also { it.listen().coAwait() }
    }

    /**
     * Stops accepting connections and suspends until the open ones have closed, at most [timeoutMillis]. A connection
     * accepted just before the shutdown is still served.
     */
    suspend fun shutdown(timeoutMillis: Long) {
        server?.shutdown(timeoutMillis, TimeUnit.MILLISECONDS)?.coAwait()
    }

    /** Closes the connections on which no request has arrived or is being handled. */
    suspend fun closeIdle() {
        // Any timer, however short, fires after the event loop has polled its sockets: a request may have arrived while
        // it was busy.
        delay(POLL_MILLIS)
        connections.filter { it.idle && it.input.queue.size == 0 }.forEach { it.close(CloseReason.SHUTDOWN) }
    }

    private fun accept(socket: NetSocket) {
        if (!shedder.makeRoomForOne()) {
            socket.abort()
            context.events.onClosed(ConnectionClosure(CloseReason.SHED, requests = 0, unreadBytes = 0))
            return
        }
        val connection = CallerConnection(socket, context)
        connections += connection
        connection.input.onReceived = { shedder.received(connection) }
        val job = scope.launch(start = CoroutineStart.UNDISPATCHED) { connection.serve() }
        connection.input.onEnd = { job.cancel() }
        job.invokeOnCompletion {
            // A caller that does not read can keep a connection open that is being closed.
            connection.input.onEnd = { connections -= connection }
            if (connection.input.end != null) connections -= connection
            socket.close()
        }
        if (connection.input.end != null) job.cancel()
    }

    private companion object {
        // Connections that may arrive while the event loop is busy. Beyond this, clients retry after seconds.
        const val BACKLOG = 1_024
        const val POLL_MILLIS = 1L
    }
}
