package org.parsleymoor.entry.control

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.get
import com.github.michaelbull.result.mapError
import com.github.michaelbull.result.onFailure
import org.parsleymoor.entry.RejectionReason
import org.parsleymoor.entry.net.CallFailure
import org.parsleymoor.entry.net.ControlClient
import org.parsleymoor.entry.net.ControlResponse
import org.parsleymoor.entry.protocol.ControlRequest
import org.parsleymoor.entry.protocol.DecodeFailure
import org.parsleymoor.entry.protocol.EngineProtocol
import org.parsleymoor.entry.serving.DeploymentView
import org.parsleymoor.relay.fleet.SocketAddress
import org.parsleymoor.relay.http.MessageFailure

/** Dependencies shared by the control loops. */
internal class ControlContext(
    val deployment: DeploymentView,
    val membership: Membership,
    val client: ControlClient,
    val engines: EngineProtocol,
    private val runtime: ControlRuntime,
    private val rejected: RejectedResponseLog,
) {
    val scope get() = runtime.scope
    val ticks get() = runtime.ticks
    val log get() = runtime.log
    val clock get() = runtime.clock

    /**
     * Sends [call] to [address] and decodes the body of the response. Returns null when the call fails or the body
     * cannot be decoded, and passes the reason to [onFailure] for the caller to log.
     */
    suspend fun <T> callAndDecode(
        address: SocketAddress,
        call: ControlRequest,
        timeoutMillis: Long,
        decode: (String) -> Result<T, DecodeFailure>,
        onFailure: (String) -> Unit,
    ): T? = client.call(address, call, timeoutMillis) { response -> decoded(address, call, response, decode) }
        .onFailure { recordUnread(address, call, it) }
        .mapError { it.message }
        .andThen { it }
        .onFailure(onFailure).get()

    private fun <T> decoded(
        address: SocketAddress,
        call: ControlRequest,
        response: ControlResponse,
        decode: (String) -> Result<T, DecodeFailure>,
    ): Result<T, String> = decode(response.body).mapError { "status ${response.status}: ${it.message}" }.onFailure {
        if (response.status in SUCCESS) rejected.record(address, call, RejectionReason.UNDECODABLE, it)
    }

    private fun recordUnread(address: SocketAddress, call: ControlRequest, failure: CallFailure) {
        val reason = when ((failure as? CallFailure.Unanswered)?.fault) {
            MessageFailure.BODY_TOO_LARGE -> RejectionReason.TOO_LARGE
            MessageFailure.NO_ROOM -> RejectionReason.NO_ROOM
            else -> return
        }
        rejected.record(address, call, reason, failure.message)
    }

    private companion object {
        val SUCCESS = 200..299
    }
}
