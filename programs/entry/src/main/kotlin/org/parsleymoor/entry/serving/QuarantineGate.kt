package org.parsleymoor.entry.serving

import kotlinx.serialization.json.put
import org.parsleymoor.relay.exchange.PeerUpdate
import org.parsleymoor.relay.quarantine.ContentKey
import org.parsleymoor.relay.quarantine.EndpointCrash
import org.parsleymoor.relay.quarantine.QuarantineDecision
import org.parsleymoor.relay.quarantine.QuarantinedContent
import org.parsleymoor.relay.quarantine.UnansweredRequest
import org.parsleymoor.relay.quarantine.partId
import org.parsleymoor.relay.quarantine.prober

/** Keeps prompts with quarantined parts from endpoints, and tells peers what attempts show about prompt parts. */
internal class QuarantineGate(context: ServingContext) {
    private val deployment = context.deployment
    private val quarantine = deployment.quarantine
    private val log = context.log
    private val metrics = context.metrics
    private val clock = context.clock

    /** Returns why [pending] must not be sent to an endpoint, or null if it may be. */
    fun check(pending: PendingRequest): QuarantineDecision.Refused? {
        val parts = pending.sharedParts
        val nowMillis = clock.nowMillis()
        quarantine.assess(parts, nowMillis).forEach { logQuarantined(pending, it) }
        return when (val decision = quarantine.decide(parts, nowMillis) { mayProbe(it, nowMillis) }) {
            QuarantineDecision.Allowed -> null
            is QuarantineDecision.Probe -> null.also { logPart("part.probed", pending, decision.part) }
            is QuarantineDecision.Refused -> decision
        }
    }

    /** Whether [pending] may be sent to an endpoint now other than as a probe. */
    fun allows(pending: PendingRequest): Boolean =
        quarantine.decide(pending.sharedParts, clock.nowMillis()) { false } == QuarantineDecision.Allowed

    /** Records that an endpoint crashed before it had answered [pending], as far as [progress] says. */
    fun recordCrash(pending: PendingRequest, progress: AttemptProgress) {
        if (pending.sharedParts.isEmpty()) return
        val responding = progress.responding && progress.events == 0
        val prompt = UnansweredRequest(pending.sharedParts, progress.sentMillis, responding)
        val crash = EndpointCrash(progress.incarnation, clock.nowMillis(), prompt)
        quarantine.recordCrash(crash)
        deployment.announce(PeerUpdate.Crashed(deployment.self, crash))
    }

    /** Records that an endpoint went on with the response to [pending] after it had begun. */
    fun recordAnswer(pending: PendingRequest) {
        val nowMillis = clock.nowMillis()
        val cleared = quarantine.recordAnswer(pending.sharedParts, nowMillis)
        if (cleared.isNotEmpty()) deployment.announce(PeerUpdate.Answered(cleared, nowMillis))
    }

    private fun mayProbe(entry: QuarantinedContent, nowMillis: Long): Boolean =
        entry.prober(deployment.members.orEmpty(), nowMillis) == deployment.self

    private fun logQuarantined(pending: PendingRequest, entry: QuarantinedContent) {
        metrics.partsQuarantined.increment()
        deployment.announce(PeerUpdate.Quarantined(entry))
        logPart("part.quarantined", pending, entry.part)
    }

    private fun logPart(event: String, pending: PendingRequest, part: ContentKey) {
        log.write(event, always = true) {
            put("request", pending.id.value)
            put("part", pending.prompt?.partId(part))
        }
    }
}
