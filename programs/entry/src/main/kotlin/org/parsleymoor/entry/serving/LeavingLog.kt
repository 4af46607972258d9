package org.parsleymoor.entry.serving

import kotlinx.serialization.json.put
import org.parsleymoor.entry.EntryMetrics
import org.parsleymoor.entry.log.StructuredLog
import org.parsleymoor.relay.cache.EngineIncarnation
import org.parsleymoor.relay.fleet.LeavingEnd

/** Logs and counts the endpoints that this instance learns are leaving. */
internal class LeavingLog(private val log: StructuredLog, private val metrics: EntryMetrics) {
    /** Records that this instance learned from [source] that [endpoint] leaves. */
    fun learned(endpoint: EngineIncarnation, source: LeavingSource) {
        metrics.recordLeaving(fromPeer = source is LeavingSource.Peer)
        log.write("endpoint.leaving", always = true) {
            put("endpoint", endpoint.endpoint.value)
            put("endpointStart", endpoint.startMillis)
            when (source) {
                is LeavingSource.Response -> {
                    put("source", "response")
                    put("request", source.request)
                    put("status", source.status)
                    put("value", source.value)
                }
                LeavingSource.Peer -> put("source", "peer")
            }
        }
    }

    /** Records that [endpoint] no longer counts as leaving. */
    fun ended(endpoint: EngineIncarnation, reason: LeavingEnd) {
        log.write("endpoint.leavingEnded", always = true) {
            put("endpoint", endpoint.endpoint.value)
            put("endpointStart", endpoint.startMillis)
            put("reason", reason.name.lowercase())
        }
    }
}
