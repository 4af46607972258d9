package org.parsleymoor.entry.control

import kotlinx.serialization.json.put
import org.parsleymoor.core.Clock
import org.parsleymoor.entry.EntryMetrics
import org.parsleymoor.entry.RejectionReason
import org.parsleymoor.entry.log.StructuredLog
import org.parsleymoor.entry.protocol.ControlRequest
import org.parsleymoor.relay.fleet.SocketAddress

/**
 * Counts responses of engines and KV cache stores to control calls that could not be used, and logs them: at most one a
 * second for each address, because a faulty endpoint may send only such responses.
 */
internal class RejectedResponseLog(
    private val log: StructuredLog,
    private val metrics: EntryMetrics,
    private val clock: Clock,
) {
    private val loggedMillis = HashMap<SocketAddress, Long>()

    /** Records that the response of [address] to [call] was rejected for [reason], described by [message]. */
    fun record(address: SocketAddress, call: ControlRequest, reason: RejectionReason, message: String) {
        metrics.rejectedResponses.increment(reason)
        val nowMillis = clock.nowMillis()
        loggedMillis.values.removeIf { nowMillis - it >= LOG_INTERVAL_MILLIS }
        if (loggedMillis.putIfAbsent(address, nowMillis) != null) return
        log.write("control.responseRejected", always = true) {
            put("address", address.toString())
            put("path", call.target.substringBefore('?'))
            put("reason", message)
        }
    }

    private companion object {
        const val LOG_INTERVAL_MILLIS = 1_000L
    }
}
