package org.parsleymoor.entry.serving

import kotlinx.serialization.json.put
import org.parsleymoor.entry.EntryMetrics
import org.parsleymoor.entry.log.StructuredLog
import org.parsleymoor.relay.cache.EngineIncarnation
import org.parsleymoor.relay.http.MessageFailure

/** Logs and counts responses of endpoints that were given up because they are too large for this instance. */
internal class OversizedLog(private val log: StructuredLog, private val metrics: EntryMetrics) {
    /** Records that the response of [endpoint] to [pending] was given up because of [fault], described by [reason]. */
    fun record(
        pending: PendingRequest,
        endpoint: EngineIncarnation,
        fault: MessageFailure,
        reason: String = fault.message,
    ) {
        metrics.recordOversized(fault)
        log.write("response.oversized", always = true) {
            put("request", pending.id.value)
            put("route", pending.route.name)
            put("endpoint", endpoint.endpoint.value)
            put("endpointStart", endpoint.startMillis)
            put("reason", reason)
        }
    }
}
