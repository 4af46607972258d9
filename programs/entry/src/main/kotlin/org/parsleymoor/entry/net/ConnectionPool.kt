package org.parsleymoor.entry.net

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.vertx.core.net.NetClient
import io.vertx.core.net.SocketAddress.inetSocketAddress
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.withTimeoutOrNull
import org.parsleymoor.core.Clock
import org.parsleymoor.core.Failure
import org.parsleymoor.relay.fleet.SocketAddress
import java.io.IOException

/** Why there is no connection to an endpoint; nothing has been sent. */
internal enum class ConnectFailure(override val message: String) : Failure {
    REFUSED("the connection was refused"),
    TIMED_OUT("the connection was not established in time"),
    AT_LIMIT("this instance has as many connections to the endpoint as it may open"),
}

/** Idle and open connections to endpoints, the most recently used first. Confined to the event loop. */
internal class ConnectionPool(private val client: NetClient, private val clock: Clock) {
    private val idle = HashMap<SocketAddress, ArrayDeque<EndpointConnection>>()
    private val open = HashMap<SocketAddress, Int>()

    /** Returns an idle connection to [address], or null. */
    fun takeIdle(address: SocketAddress): EndpointConnection? {
        val connections = idle[address] ?: return null
        val nowMillis = clock.nowMillis()
        val (usable, over) = connections.partition { it.reusable && nowMillis < it.idleUntilMillis }
        over.forEach { it.close() }
        val newest = usable.lastOrNull()
        connections.clear()
        connections.addAll(usable.dropLast(1))
        newest?.input?.onUnsolicitedData = {}
        return newest
    }

    /** Opens a connection to [address]; fails when [limit] are open or none is established in [timeoutMillis]. */
    suspend fun connect(
        address: SocketAddress,
        limit: Int,
        timeoutMillis: Long,
    ): Result<EndpointConnection, ConnectFailure> {
        if ((open[address] ?: 0) >= limit) return Err(ConnectFailure.AT_LIMIT)
        open.merge(address, 1, Int::plus)
        var connected = false
        return try {
            val connecting = client.connect(inetSocketAddress(address.port, address.host))
            val socket = withTimeoutOrNull(timeoutMillis) { connecting.coAwait() }
            if (socket == null) {
                connecting.onSuccess { it.close() }
                Err(ConnectFailure.TIMED_OUT)
            } else {
                connected = true
                Ok(EndpointConnection(address, socket).also { it.input.onEnd = { closed(address) } })
            }
        } catch (_: IOException) {
            Err(ConnectFailure.REFUSED)
        } finally {
            if (!connected) closed(address)
        }
    }

    /** Takes back [connection] after a complete response, which announced to keep it open for [keepMillis]. */
    fun release(connection: EndpointConnection, keepMillis: Long?) {
        if (!connection.reusable) {
            connection.close()
            return
        }
        val kept = keepMillis?.let { maxOf(it - CLOSING_MARGIN_MILLIS, it / 2) } ?: DEFAULT_IDLE_MILLIS
        connection.idleUntilMillis = clock.nowMillis() + kept
        // Bytes outside of a response belong to no request.
        connection.input.onUnsolicitedData = { connection.close() }
        idle.getOrPut(connection.address) { ArrayDeque() }.addLast(connection)
    }

    /** Closes the idle connections to [address], because a connection to it fell silent or was reset. */
    fun discardIdle(address: SocketAddress) {
        idle.remove(address)?.forEach { it.close() }
    }

    /** Closes idle connections that are due and forgets addresses without any. */
    fun expire() {
        val nowMillis = clock.nowMillis()
        idle.values.forEach { connections ->
            connections.filter { !it.reusable || nowMillis >= it.idleUntilMillis }.forEach { it.close() }
            connections.removeAll { it.noNewRequests }
        }
        idle.values.removeAll { it.isEmpty() }
    }

    private fun closed(address: SocketAddress) {
        open.computeIfPresent(address) { _, count -> (count - 1).takeIf { it > 0 } }
    }

    private companion object {
        // An endpoint may close an idle connection while a request is on its way; its time-out is in whole seconds.
        const val CLOSING_MARGIN_MILLIS = 700L

        // For endpoints that state no time-out.
        const val DEFAULT_IDLE_MILLIS = 4_000L
    }
}
