package org.parsleymoor.entry.net

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import io.vertx.core.Future
import io.vertx.core.net.NetClient
import io.vertx.core.net.NetSocket
import io.vertx.core.net.SocketAddress.inetSocketAddress
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.withTimeoutOrNull
import org.parsleymoor.core.Clock
import org.parsleymoor.core.Failure
import org.parsleymoor.relay.fleet.SocketAddress
import java.io.IOException

/** Why no connection to an endpoint could be used. Nothing has been sent. */
internal enum class ConnectFailure(override val message: String) : Failure {
    REFUSED("connection failed or was refused"),
    INVALID_ADDRESS("no connection can be opened to this address"),
    TIMED_OUT("connection timed out"),
    AT_LIMIT("this instance has reached its limit of connections to the endpoint"),
}

/** Pool of connections to endpoints that reuses the most recently released first. Confined to the event loop. */
internal class ConnectionPool(private val client: NetClient, private val clock: Clock) {
    private val idle = HashMap<SocketAddress, ArrayDeque<EndpointConnection>>()
    private val open = HashMap<SocketAddress, Int>()

    /** Removes an idle connection to [address] from the pool and returns it, or null if there is none. */
    fun takeIdle(address: SocketAddress): EndpointConnection? {
        val connections = idle[address] ?: return null
        val nowMillis = clock.nowMillis()
        val (usable, expired) = connections.partition { it.reusable && nowMillis < it.idleUntilMillis }
        expired.forEach { it.close() }
        val mostRecent = usable.lastOrNull()
        connections.clear()
        connections.addAll(usable.dropLast(1))
        mostRecent?.input?.onUnsolicitedData = {}
        return mostRecent
    }

    /** Whether an idle connection to [address] is left, or fewer than [limit] are open. */
    fun hasRoom(address: SocketAddress, limit: Int): Boolean =
        (open[address] ?: 0) < limit || idle[address].orEmpty().any { it.reusable }

    /** Opens a connection to [address]. Fails if [limit] are open already or it takes longer than [timeoutMillis]. */
    suspend fun connect(
        address: SocketAddress,
        limit: Int,
        timeoutMillis: Long,
    ): Result<EndpointConnection, ConnectFailure> = if ((open[address] ?: 0) >= limit) {
        Err(ConnectFailure.AT_LIMIT)
    } else {
        begin(address).andThen { connecting -> await(address, connecting, timeoutMillis) }
    }

    private fun begin(address: SocketAddress): Result<Future<NetSocket>, ConnectFailure> = try {
        Ok(client.connect(inetSocketAddress(address.port, address.host)))
    } catch (_: IllegalArgumentException) {
        Err(ConnectFailure.INVALID_ADDRESS)
    }

    private suspend fun await(
        address: SocketAddress,
        connecting: Future<NetSocket>,
        timeoutMillis: Long,
    ): Result<EndpointConnection, ConnectFailure> {
        open.merge(address, 1, Int::plus)
        var connected = false
        return try {
            val socket = withTimeoutOrNull(timeoutMillis) { connecting.coAwait() }
            if (socket == null) {
                Err(ConnectFailure.TIMED_OUT)
            } else {
                connected = true
                Ok(EndpointConnection(address, socket).also { it.input.onEnd = { closed(address) } })
            }
        } catch (_: IOException) {
            Err(ConnectFailure.REFUSED)
        } catch (_: IllegalArgumentException) {
            Err(ConnectFailure.INVALID_ADDRESS)
        } finally {
            if (!connected) {
                // A connection that is established after a timeout or a cancellation belongs to no request.
                connecting.onSuccess { it.close() }
                closed(address)
            }
        }
    }

    /**
     * Returns [connection] to the pool after a complete response. The endpoint has announced an idle timeout of
     * [keepAliveMillis], or none if null.
     */
    fun release(connection: EndpointConnection, keepAliveMillis: Long?) {
        connection.input.readOn()
        if (!connection.reusable) {
            connection.close()
            return
        }
        val idleMillis = keepAliveMillis?.let { maxOf(it - EARLY_CLOSE_MILLIS, it / 2) } ?: DEFAULT_IDLE_MILLIS
        connection.idleUntilMillis = clock.nowMillis() + idleMillis
        // Data that arrives while no request is in flight belongs to no request.
        connection.input.onUnsolicitedData = { connection.close() }
        idle.getOrPut(connection.address) { ArrayDeque() }.addLast(connection)
    }

    /** Closes the idle connections to [address], which are probably dead too after one to it has timed out. */
    fun discardIdle(address: SocketAddress) {
        idle.remove(address)?.forEach { it.close() }
    }

    /** Closes the connections whose idle time is over and removes addresses without any. */
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
        // Connections are closed this long before the endpoint's idle timeout, which is stated in whole seconds, so
        // that the endpoint does not close one while a request is on its way.
        const val EARLY_CLOSE_MILLIS = 700L

        // For endpoints that announce no idle timeout.
        const val DEFAULT_IDLE_MILLIS = 4_000L
    }
}
