package org.parsleymoor.entry.callers

import kotlinx.serialization.json.put
import org.parsleymoor.entry.EntryMetrics
import org.parsleymoor.entry.log.StructuredLog
import org.parsleymoor.entry.log.shortTrace
import org.parsleymoor.relay.http.MessageFailure
import org.parsleymoor.relay.limits.HeldBytes

/** Writes to [log] and counts in [metrics] what happens on connections of callers. */
internal class ConnectionLog(
    private val log: StructuredLog,
    private val metrics: EntryMetrics,
    private val held: HeldBytes,
) {
    /** Records that something that arrived is not a request within the limits. */
    fun malformed(fault: MessageFailure) {
        log.write("request.malformed") {
            put("status", fault.status.code)
            put("reason", fault.message)
        }
    }

    /** Records the end of a connection. */
    fun closed(closure: ConnectionClosure) {
        metrics.recordClosure(closure.reason)
        if (!closure.isSuspicious) return
        log.write("connection.closed", always = true) {
            put("reason", closure.reason.name.lowercase())
            put("requests", closure.requests)
            put("unreadBytes", closure.unreadBytes)
            closure.fault?.let { put("cause", it.shortTrace()) }
        }
    }

    /** Records that [closed] of [open] connections are closed because room is short. */
    fun shed(closed: Int, open: Int) {
        log.write("connections.shed") {
            put("closed", closed)
            put("open", open)
            put("heldBytes", held.totalBytes)
        }
    }
}
