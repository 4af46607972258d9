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
import org.parsleymoor.relay.http.HeaderFields
import org.parsleymoor.relay.http.HeldBody
import org.parsleymoor.relay.http.MessageFailure
import org.parsleymoor.relay.http.ResponseHead
import org.parsleymoor.relay.limits.HeldBytes

/** Response to a [ControlRequest]. */
internal class ControlResponse(val status: Int, val body: String, val headers: HeaderFields = HeaderFields(emptyList()))

/** Why a [ControlRequest] has no response. */
internal sealed interface CallFailure : Failure {
    /** The request was not sent. */
    data class NotSent(val cause: ConnectFailure) : CallFailure {
        override val message: String get() = cause.message
    }

    /** The request was sent and may have been carried out. [fault] is what was wrong with the response, if any came. */
    data class Unanswered(override val message: String, val fault: MessageFailure? = null) : CallFailure {
        constructor(fault: MessageFailure) : this(fault.message, fault)
    }
}

/** Sends control requests to the object store, engines and KV cache stores, each with its own timeout. */
internal class ControlClient(
    private val pool: ConnectionPool,
    private val held: HeldBytes,
    private val observer: ResponseObserver = ResponseObserver { _, _ -> {} },
) {
    /** Sends [request] to [address] and suspends until the complete response has arrived, at most [timeoutMillis]. */
    suspend fun call(
        address: SocketAddress,
        request: ControlRequest,
        timeoutMillis: Long,
    ): Result<ControlResponse, CallFailure> = call(address, request, timeoutMillis) { it }

    /**
     * Sends [request] and returns what [read] makes of the response. The response is still in the account of held
     * bytes meanwhile, so that the responses of many endpoints are not decoded together.
     */
    suspend fun <T> call(
        address: SocketAddress,
        request: ControlRequest,
        timeoutMillis: Long,
        read: (ControlResponse) -> T,
    ): Result<T, CallFailure> {
        val connection = pool.takeIdle(address)
            ?: pool.connect(address, MAX_CONNECTIONS, minOf(timeoutMillis, CONNECT_MILLIS))
                .getOrElse { return Err(CallFailure.NotSent(it)) }
        val onHead = observer.sent(address, request)
        var response: Result<T, CallFailure>? = null
        val body = HeldBody(held)
        try {
            connection.send(message(head(address, request), request.body.orEmpty().encodeToByteArray()))
            response = withTimeoutOrNull(timeoutMillis) { receive(connection, request, body, onHead).map(read) }
        } finally {
            body.release()
            if (response?.isOk == true) pool.release(connection, null) else connection.abort()
        }
        return response ?: Err(CallFailure.Unanswered("no response within $timeoutMillis ms"))
    }

    private suspend fun receive(
        connection: EndpointConnection,
        request: ControlRequest,
        body: HeldBody,
        onHead: (ResponseHead) -> Unit,
    ): Result<ControlResponse, CallFailure> {
        val response = connection.readResponse(request.method)
            .getOrElse { return Err(CallFailure.Unanswered(it)) }
        onHead(response.head)
        if (!response.head.keepsAlive) connection.noNewRequests = true
        return connection.readBody(response, body, request.maxResponseBytes)
            .map { ControlResponse(response.head.status, body.decodeToString(), response.head.headers) }
            .mapError { CallFailure.Unanswered(it) }
    }

    private fun head(address: SocketAddress, request: ControlRequest): ByteArray {
        val fields = ArrayList<HeaderField>()
        fields += HeaderField("Host", address.toString())
        request.headers.forEach { (name, value) -> fields += HeaderField(name, value) }
        request.body?.let {
            fields += HeaderField("Content-Type", "application/json")
            fields += HeaderField("Content-Length", it.encodeToByteArray().size.toString())
        }
        return headBytes("${request.method} ${request.target} HTTP/1.1", fields)
    }

    private companion object {
        // One long poll for each kind of object, and room for other requests.
        const val MAX_CONNECTIONS = 16
        const val CONNECT_MILLIS = 1_000L
    }
}
