package org.parsleymoor.entry.serving

import kotlinx.serialization.json.put
import org.parsleymoor.relay.exchange.PeerUpdate
import org.parsleymoor.relay.fleet.release
import org.parsleymoor.relay.quarantine.ContentKey
import org.parsleymoor.relay.quarantine.EndpointCrash
import org.parsleymoor.relay.quarantine.QuarantineDecision
import org.parsleymoor.relay.quarantine.QuarantinedContent
import org.parsleymoor.relay.quarantine.UnansweredRequest
import org.parsleymoor.relay.quarantine.partId
import org.parsleymoor.relay.quarantine.prober

/** Keeps quarantined requests from endpoints, and tells peers what attempts show about requests and prompt parts. */
internal class QuarantineGate(context: ServingContext) {
    private val deployment = context.deployment
    private val quarantine = deployment.quarantine
    private val log = context.log
    private val metrics = context.metrics
    private val clock = context.clock

    /** Returns why [pending] must not be sent to an endpoint, or null if it may be. */
    fun check(pending: PendingRequest): Refusal.Quarantined? {
        if (!quarantine.isActive) return null
        val keys = pending.keys
        val nowMillis = clock.nowMillis()
        quarantine.assess(keys, nowMillis).forEach { logQuarantined(pending, it) }
        val release = deployment.endpoints.release(pending.service.name)
        val decision = quarantine.decide(keys, nowMillis, release) { mayProbe(it, nowMillis, release) }
        return when (decision) {
            QuarantineDecision.Allowed -> null
            is QuarantineDecision.Probe -> null.also { logContent("probed", pending, decision.key) }
            is QuarantineDecision.Refused -> if (decision.key == pending.key) {
                Refusal.RequestQuarantined(decision.retryAfterMillis)
            } else {
                Refusal.PartQuarantined(decision.retryAfterMillis)
            }
        }
    }

    /** Whether [pending] may be sent to an endpoint now other than as a probe. */
    fun allows(pending: PendingRequest): Boolean = !quarantine.isActive ||
        quarantine.decide(pending.keys, clock.nowMillis()) { false } == QuarantineDecision.Allowed

    /** Records that [pending], which may have been a probe, was not sent. */
    fun recordNotSent(pending: PendingRequest) {
        if (quarantine.isActive) quarantine.withdrawProbe(pending.keys)
    }

    /** Records that an endpoint crashed before it had answered [pending], as far as [progress] says. */
    fun recordCrash(pending: PendingRequest, progress: AttemptProgress) {
        // What the response had gone on with is cleared; the whole request is not.
        val parts = if (progress.answered) emptySet() else pending.sharedParts
        val unanswered = UnansweredRequest(
            parts = parts,
            sentMillis = progress.sentMillis,
            responding = parts.isNotEmpty() && progress.responding && progress.events == 0,
            request = pending.key,
        )
        val crash = EndpointCrash(progress.incarnation, clock.nowMillis(), unanswered)
        deployment.recordCrash(crash)
        deployment.announce(PeerUpdate.Crashed(deployment.self, crash))
    }

    /** Records that an endpoint went on with the response to [pending] after it had begun. */
    fun recordProgress(pending: PendingRequest) {
        if (quarantine.isActive) recordAnswer(pending.sharedParts)
    }

    /** Records that an endpoint answered [pending] wholly. */
    fun recordAnswer(pending: PendingRequest) {
        if (quarantine.isActive) recordAnswer(setOf(pending.key))
    }

    private fun recordAnswer(keys: Set<ContentKey>) {
        val nowMillis = clock.nowMillis()
        val cleared = quarantine.recordAnswer(keys, nowMillis)
        if (cleared.isNotEmpty()) deployment.announce(PeerUpdate.Answered(cleared, nowMillis))
    }

    private val PendingRequest.keys: Set<ContentKey> get() = sharedParts + key

    private fun mayProbe(entry: QuarantinedContent, nowMillis: Long, release: String?): Boolean =
        deployment.knownInstances.ids?.let { entry.prober(it, nowMillis, release) } == deployment.self

    private fun logQuarantined(pending: PendingRequest, entry: QuarantinedContent) {
        if (entry.key == pending.key) metrics.requestsQuarantined.increment() else metrics.partsQuarantined.increment()
        deployment.announce(PeerUpdate.Quarantined(entry))
        logContent("quarantined", pending, entry.key)
    }

    private fun logContent(what: String, pending: PendingRequest, key: ContentKey) {
        val part = if (key == pending.key) null else pending.prompt?.partId(key)
        log.write(if (part == null) "request.$what" else "part.$what", always = true) {
            put("request", pending.id.value)
            if (part == null) put("content", key.toString()) else put("part", part)
        }
    }
}
