package org.parsleymoor.entry

import com.github.michaelbull.result.getOrElse
import io.vertx.core.Vertx
import io.vertx.core.net.NetServerOptions
import io.vertx.core.net.NetSocket
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.launch
import org.parsleymoor.entry.callers.CallerResponseHead
import org.parsleymoor.entry.callers.ResponseWriter
import org.parsleymoor.entry.net.SocketInput
import org.parsleymoor.entry.net.abort
import org.parsleymoor.entry.net.readHead
import org.parsleymoor.relay.fleet.SocketAddress
import org.parsleymoor.relay.http.HeaderField
import org.parsleymoor.relay.http.HttpStatus
import org.parsleymoor.relay.http.parseRequestHead

/** Response of a [ProbeServer]. */
internal class ProbeResponse(val status: HttpStatus, val body: String = "")

/** HTTP server for readiness probes and metrics: serves requests without a body, by path, on an address of its own. */
internal class ProbeServer(
    private val vertx: Vertx,
    private val scope: CoroutineScope,
    private val responses: Map<String, () -> ProbeResponse>,
) {
    private val connections = LinkedHashSet<NetSocket>()

    /** Listens on [address]. */
    suspend fun start(address: SocketAddress) {
        val options = NetServerOptions().setHost(address.host).setPort(address.port).setReuseAddress(true)
        vertx.createNetServer(options).connectHandler(::accept).listen().coAwait()
    }

    private fun accept(socket: NetSocket) {
        // The oldest is the one most likely to have been left open.
        if (connections.size >= MAX_CONNECTIONS) connections.first().abort()
        connections += socket
        val input = SocketInput(socket)
        val job = scope.launch(start = CoroutineStart.UNDISPATCHED) { serve(socket, input) }
        input.onEnd = { job.cancel() }
        job.invokeOnCompletion {
            connections -= socket
            socket.close()
        }
    }

    private suspend fun serve(socket: NetSocket, input: SocketInput) {
        do {
            val bytes = input.readHead(HEAD_LIMIT_BYTES).getOrElse { null } ?: return
            val head = parseRequestHead(bytes).getOrElse { return }
            val response = responses[head.target.substringBefore('?')]?.invoke() ?: ProbeResponse(HttpStatus.NOT_FOUND)
            val writer =
                ResponseWriter(socket, keepAliveAllowed = head.keepsAlive, chunked = true, stopping = { false })
            val fields = listOf(HeaderField("Content-Type", "text/plain; charset=utf-8"))
            writer.writeResponse(CallerResponseHead(response.status, fields), response.body.encodeToByteArray())
        } while (writer.keepAlive)
    }

    private companion object {
        const val HEAD_LIMIT_BYTES = 8_192

        // A few probes and readers of metrics keep a connection each.
        const val MAX_CONNECTIONS = 64
    }
}
