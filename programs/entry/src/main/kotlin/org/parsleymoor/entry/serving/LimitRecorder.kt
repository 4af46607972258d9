package org.parsleymoor.entry.serving

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlinx.serialization.json.put
import org.parsleymoor.core.Clock
import org.parsleymoor.entry.EntryMetrics
import org.parsleymoor.entry.log.StructuredLog
import org.parsleymoor.relay.cache.EngineIncarnation
import org.parsleymoor.relay.exchange.PeerUpdate
import org.parsleymoor.relay.fleet.NamedLimit
import org.parsleymoor.relay.http.RequestLimitFailure
import org.parsleymoor.relay.http.parseRequestLimit

/** Records the limits that endpoints name in responses, tells peers of changes, and logs and counts them. */
internal class LimitRecorder(
    private val deployment: DeploymentView,
    private val log: StructuredLog,
    private val metrics: EntryMetrics,
    private val clock: Clock,
) {
    private val limits = deployment.endpoints.limits.named
    private val invalid = HashMap<EngineIncarnation, RequestLimitFailure>()

    init {
        deployment.onLimit = { logChange(it, "peer") }
    }

    /** Records that [endpoint] named its limit as [values] in the response to [request]. */
    fun named(endpoint: EngineIncarnation, request: String, values: List<String>) {
        val read = parseRequestLimit(values)
        val failure = read.getError()
        if (failure == null) invalid -= endpoint else recordInvalid(endpoint, request, failure)
        val perSecond = read.get() ?: (failure as? RequestLimitFailure.Contradictory)?.smallest ?: return
        limits.named(endpoint, perSecond, clock.nowMillis())?.let { publish(it, request) }
    }

    /** Records that [endpoint] answered [request], which was sent at [sentMillis], without naming a limit. */
    fun notNamed(endpoint: EngineIncarnation, request: String, sentMillis: Long) {
        limits.notNamed(endpoint, sentMillis, clock.nowMillis())?.let { publish(it, request) }
    }

    private fun publish(limit: NamedLimit, request: String) {
        logChange(limit, request)
        deployment.announce(PeerUpdate.Limited(limit))
        deployment.announceDemands(clock.nowMillis())
    }

    private fun logChange(limit: NamedLimit, source: String) {
        if (limit.perSecond != null) metrics.endpointLimits.increment()
        log.write(if (limit.perSecond == null) "endpoint.limitEnded" else "endpoint.limited", always = true) {
            put("endpoint", limit.endpoint.endpoint.value)
            put("endpointStart", limit.endpoint.startMillis)
            put("perSecond", limit.perSecond)
            put("source", source)
        }
    }

    /** Logs [failure] once, because the endpoint names the same in each response. */
    private fun recordInvalid(endpoint: EngineIncarnation, request: String, failure: RequestLimitFailure) {
        if (invalid.size >= MAX_ENDPOINTS) invalid.clear()
        if (invalid.put(endpoint, failure) == failure) return
        log.write("endpoint.limitInvalid", always = true) {
            put("endpoint", endpoint.endpoint.value)
            put("endpointStart", endpoint.startMillis)
            put("request", request)
            put("reason", failure.message)
        }
    }

    private companion object {
        const val MAX_ENDPOINTS = 1_000
    }
}
