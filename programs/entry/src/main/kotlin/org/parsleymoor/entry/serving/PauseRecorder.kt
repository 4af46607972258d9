package org.parsleymoor.entry.serving

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlinx.serialization.json.put
import org.parsleymoor.core.Clock
import org.parsleymoor.entry.EntryMetrics
import org.parsleymoor.entry.log.StructuredLog
import org.parsleymoor.relay.cache.EngineIncarnation
import org.parsleymoor.relay.http.RetryAfterFailure
import org.parsleymoor.relay.http.parseRetryAfter

/** Records the pauses that endpoints ask for, and logs and counts them. */
internal class PauseRecorder(
    private val deployment: DeploymentView,
    private val log: StructuredLog,
    private val metrics: EntryMetrics,
    private val clock: Clock,
) {
    private val pauses = deployment.endpoints.pauses

    /** No caller waits longer than this, so that it would be served by no endpoint in a longer pause. */
    private val limitMillis: Long
        get() = deployment.routes?.configuration?.routes?.maxOfOrNull { it.timeoutMillis } ?: UNKNOWN_LIMIT_MILLIS

    /** Begins the pause that [endpoint] asked for with [value] in the response to [request]. */
    fun begin(endpoint: EngineIncarnation, request: String, value: String) {
        val asked = parseRetryAfter(value, limitMillis)
        val failure = asked.getError()
        val millis = asked.get() ?: (failure as? RetryAfterFailure.TooLong)?.limitMillis ?: 0
        if (millis > 0) pauses.begin(endpoint, millis, clock.nowMillis())
        if (millis > 0) metrics.endpointPauses.increment()
        log.write(if (failure == null) "endpoint.paused" else "endpoint.pauseInvalid", always = true) {
            put("endpoint", endpoint.endpoint.value)
            put("endpointStart", endpoint.startMillis)
            put("request", request)
            put("millis", millis)
            failure?.let { put("reason", it.message) }
        }
    }

    /** Records that [endpoint] answered without asking for a pause. */
    fun answered(endpoint: EngineIncarnation) {
        if (pauses.answered(endpoint, clock.nowMillis())) logEnd(endpoint)
    }

    /** Ends the pauses that have been over for a while, without a request since. */
    fun expire() {
        pauses.expire(clock.nowMillis()).forEach(::logEnd)
    }

    private fun logEnd(endpoint: EngineIncarnation) {
        log.write("endpoint.pauseEnded", always = true) {
            put("endpoint", endpoint.endpoint.value)
            put("endpointStart", endpoint.startMillis)
        }
    }

    private companion object {
        // Applies before the configuration is known, when no request is sent.
        const val UNKNOWN_LIMIT_MILLIS = 1_000L
    }
}
