package org.parsleymoor.entry.net

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import kotlinx.coroutines.withTimeoutOrNull
import org.parsleymoor.core.Failure
import org.parsleymoor.entry.protocol.ControlRequest
import org.parsleymoor.relay.fleet.SocketAddress
import org.parsleymoor.relay.http.HeaderField

/** A response to a control call. */
internal class ControlResponse(val status: Int, val body: String)

/** Why a control call has no response. */
internal sealed interface CallFailure : Failure {
    /** Nothing was sent. */
    data class NotSent(val cause: ConnectFailure) : CallFailure {
        override val message: String get() = cause.message
    }

    /** The call was sent and may have been carried out. */
    data class Unanswered(override val message: String) : CallFailure
}

/** Makes control calls to the object store, engines and KV cache stores, each within its own time limit. */
internal class ControlClient(private val pool: ConnectionPool) {
    /** Sends [call] to [address] and suspends until its whole response has arrived, at most [timeoutMillis]. */
    suspend fun call(
        address: SocketAddress,
        call: ControlRequest,
        timeoutMillis: Long,
    ): Result<ControlResponse, CallFailure> {
        val connection = pool.takeIdle(address)
            ?: pool.connect(address, CONNECTIONS, minOf(timeoutMillis, CONNECT_MILLIS))
                .getOrElse { return Err(CallFailure.NotSent(it)) }
        var answer: Result<ControlResponse, CallFailure>? = null
        try {
            connection.send(message(head(address, call), call.body.orEmpty().encodeToByteArray()))
            answer = withTimeoutOrNull(timeoutMillis) { receive(connection, call) }
        } finally {
            if (answer?.isOk == true) pool.release(connection, null) else connection.close()
        }
        return answer ?: Err(CallFailure.Unanswered("no response within $timeoutMillis ms"))
    }

    private suspend fun receive(connection: EndpointConnection, call: ControlRequest): Result<ControlResponse, CallFailure> {
        val response = connection.readResponse(call.method).getOrElse { return Err(CallFailure.Unanswered(it.message)) }
        if (!response.head.keepsAlive) connection.noNewRequests = true
        return connection.readBody(response)
            .map { ControlResponse(response.head.status, it.decodeToString()) }
            .mapError { CallFailure.Unanswered(it.message) }
    }

    private fun head(address: SocketAddress, call: ControlRequest): ByteArray {
        val fields = ArrayList<HeaderField>()
        fields += HeaderField("Host", address.toString())
        call.headers.forEach { (name, value) -> fields += HeaderField(name, value) }
        call.body?.let {
            fields += HeaderField("Content-Type", "application/json")
            fields += HeaderField("Content-Length", it.encodeToByteArray().size.toString())
        }
        return headBytes("${call.method} ${call.target} HTTP/1.1", fields)
    }

    private companion object {
        // A watch for each kind, and room for calls beside them.
        const val CONNECTIONS = 16
        const val CONNECT_MILLIS = 1_000L
    }
}
