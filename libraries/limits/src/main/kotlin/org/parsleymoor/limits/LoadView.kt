package org.parsleymoor.limits

import org.parsleymoor.core.AttemptId
import org.parsleymoor.core.EndpointId

/** The load of an endpoint as measured at [takenMillis] on this gateway's clock, some time before it was received. */
public data class LoadReport(
    public val endpoint: EndpointId,
    public val startCount: Long,
    public val cold: Boolean,
    public val running: Int,
    public val queuedPrefillTokens: Long,
    public val takenMillis: Long,
)

/** Estimated current load of an endpoint; [reportAgeMillis] is null when no report has been received. */
public data class EndpointLoad(
    public val running: Int,
    public val queuedPrefillTokens: Long,
    public val ownRunning: Int,
    public val reportAgeMillis: Long?,
)

/**
 * Estimates the current load of each endpoint from its last report, corrected by the requests that this gateway has
 * dispatched or seen finish since the report was taken, and by the prefill done since then at the rate that the caller
 * gives. Not thread-safe.
 */
public class LoadView {
    private val endpoints = HashMap<String, EndpointState>()
    private val attempts = HashMap<String, Dispatch>()

    /** Records [report] unless a later one is known; discards earlier dispatches that ended or did their prefill. */
    public fun report(report: LoadReport) {
        val state = state(report.endpoint)
        val lastReport = state.report
        if (lastReport != null && report.takenMillis < lastReport.takenMillis) return
        state.report = report
        state.dispatches.removeIf { it.sentMillis < report.takenMillis && (it.prefillDone || !it.running) }
    }

    /** Records that [attempt] with [prefillTokens] of prefill was sent to [endpoint] at [nowMillis]. */
    public fun dispatched(endpoint: EndpointId, attempt: AttemptId, prefillTokens: Long, nowMillis: Long) {
        val dispatch = Dispatch(endpoint.value, prefillTokens, nowMillis)
        attempts[attempt.value] = dispatch
        val state = state(endpoint)
        state.dispatches += dispatch
        state.ownRunning++
    }

    /** Records the first token of [attempt], whose prefill is therefore done. */
    public fun firstToken(attempt: AttemptId) {
        attempts[attempt.value]?.prefillDone = true
    }

    /** Records that [attempt] has ended, whatever its outcome. */
    public fun finished(attempt: AttemptId) {
        val dispatch = attempts.remove(attempt.value) ?: return
        val state = endpoints[dispatch.endpoint] ?: return
        dispatch.running = false
        dispatch.prefillDone = true
        state.ownRunning--
        val lastTakenMillis = state.report?.takenMillis
        if (lastTakenMillis == null || dispatch.sentMillis >= lastTakenMillis) state.dispatches -= dispatch
    }

    /** Estimates the load of [endpoint] at [nowMillis], assuming a prefill rate of [prefillTokensPerSecond]. */
    public fun load(endpoint: EndpointId, prefillTokensPerSecond: Double, nowMillis: Long): EndpointLoad {
        val state = endpoints[endpoint.value] ?: return EndpointLoad(0, 0, 0, null)
        return state.report?.let { estimate(state, it, prefillTokensPerSecond, nowMillis) } ?: state.ownLoad()
    }

    private fun estimate(state: EndpointState, report: LoadReport, tokenRate: Double, nowMillis: Long): EndpointLoad {
        val dispatchedSince = state.dispatches.filter { it.running && it.sentMillis >= report.takenMillis }
        val finishedSince = state.dispatches.count { !it.running && it.sentMillis < report.takenMillis }
        val ageMillis = maxOf(0, nowMillis - report.takenMillis)
        val prefilledTokens = (tokenRate * ageMillis / MILLIS_PER_SECOND).toLong()
        val ownQueued = dispatchedSince.filter { !it.prefillDone }.sumOf { it.prefillTokens }
        val queued = report.queuedPrefillTokens + dispatchedSince.sumOf { it.prefillTokens } - prefilledTokens
        val running = maxOf(state.ownRunning, report.running + dispatchedSince.size - finishedSince)
        return EndpointLoad(running, maxOf(ownQueued - prefilledTokens, queued, 0), state.ownRunning, ageMillis)
    }

    /** Removes [endpoint], for example when it leaves the configuration. */
    public fun forget(endpoint: EndpointId) {
        endpoints -= endpoint.value
        attempts.values.removeIf { it.endpoint == endpoint.value }
    }

    private fun state(endpoint: EndpointId): EndpointState = endpoints.getOrPut(endpoint.value) { EndpointState() }

    private class Dispatch(val endpoint: String, val prefillTokens: Long, val sentMillis: Long) {
        var prefillDone = false
        var running = true
    }

    private class EndpointState {
        var report: LoadReport? = null
        var ownRunning = 0
        val dispatches = ArrayList<Dispatch>()

        fun ownLoad(): EndpointLoad {
            val queued = dispatches.filter { !it.prefillDone }.sumOf { it.prefillTokens }
            return EndpointLoad(ownRunning, queued, ownRunning, null)
        }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000
    }
}
