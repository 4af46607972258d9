package org.parsleymoor.entry.serving

import kotlinx.serialization.json.put
import org.parsleymoor.entry.EntryMetrics
import org.parsleymoor.entry.log.StructuredLog

/** Logs and counts requests that are sent again in another scope, because the configuration has changed meanwhile. */
internal class ScopeRecorder(private val log: StructuredLog, private val metrics: EntryMetrics) {
    /** Records that [pending] is sent to [target]. */
    fun sent(pending: PendingRequest, target: Target) {
        val former = pending.sentScope
        pending.sentScope = target.scope
        if (former == null || former == target.scope) return
        metrics.scopeChanges.increment()
        log.write("request.scopeChanged", always = true) {
            put("request", pending.id.value)
            put("organisation", pending.organisation?.id?.value)
            put("isolated", target.scope.isolated)
            put("namespace", target.namespace)
            put("regions", target.scope.allowedRegions.joinToString(";") { set -> set.joinToString(",") { it.value } })
        }
    }
}
