package org.parsleymoor.limits

import org.parsleymoor.core.AttemptId
import org.parsleymoor.core.EndpointId

/** A load report of an endpoint as of [takenMillis] on this gateway's clock, which is before it was received. */
public data class LoadReport(
    public val endpoint: EndpointId,
    public val startCount: Long,
    public val cold: Boolean,
    public val running: Int,
    public val queuedPrefillTokens: Long,
    public val takenMillis: Long,
)

/** Estimated load now; [reportAgeMillis] is null when no report has been received. */
public data class EndpointLoad(
    public val running: Int,
    public val queuedPrefillTokens: Long,
    public val ownRunning: Int,
    public val reportAgeMillis: Long?,
)

/**
 * Estimates each endpoint's load from its last report, which lags, plus this gateway's own dispatches and finished
 * requests since the report was taken. The prefill queue drains at the rate that the caller gives. Not safe for use
 * from several threads.
 */
public class LoadView {
    private val endpoints = HashMap<String, EndpointState>()
    private val attempts = HashMap<String, Dispatch>()

    /** Takes in [report] unless a later one is known. A changed start count voids the attempts sent before it. */
    public fun report(report: LoadReport) {
        val state = state(report.endpoint)
        val known = state.report
        if (known != null && report.takenMillis < known.takenMillis) return
        state.report = report
        state.recent.removeIf { it.sentMillis < report.takenMillis && (it.prefillDone || !it.running) }
    }

    /** Records that [attempt] with [prefillTokens] of prefill was sent to [endpoint] at [nowMillis]. */
    public fun dispatched(endpoint: EndpointId, attempt: AttemptId, prefillTokens: Long, nowMillis: Long) {
        val dispatch = Dispatch(endpoint.value, prefillTokens, nowMillis)
        attempts[attempt.value] = dispatch
        val state = state(endpoint)
        state.recent += dispatch
        state.ownRunning++
    }

    /** Records the first token of [attempt]: its prefill no longer waits. */
    public fun firstToken(attempt: AttemptId) {
        attempts[attempt.value]?.prefillDone = true
    }

    /** Records that [attempt] has ended in any way. */
    public fun finished(attempt: AttemptId) {
        val dispatch = attempts.remove(attempt.value) ?: return
        val state = endpoints[dispatch.endpoint] ?: return
        dispatch.running = false
        dispatch.prefillDone = true
        state.ownRunning--
        val taken = state.report?.takenMillis
        if (taken == null || dispatch.sentMillis >= taken) state.recent -= dispatch
    }

    /** Returns the load of [endpoint] at [nowMillis] when its prefill queue drains at [prefillTokensPerSecond]. */
    public fun load(endpoint: EndpointId, prefillTokensPerSecond: Double, nowMillis: Long): EndpointLoad {
        val state = endpoints[endpoint.value] ?: return EndpointLoad(0, 0, 0, null)
        return state.report?.let { estimate(state, it, prefillTokensPerSecond, nowMillis) } ?: state.ownLoad()
    }

    private fun estimate(state: EndpointState, report: LoadReport, rate: Double, nowMillis: Long): EndpointLoad {
        val added = state.recent.filter { it.running && it.sentMillis >= report.takenMillis }
        val ended = state.recent.count { !it.running && it.sentMillis < report.takenMillis }
        val age = maxOf(0, nowMillis - report.takenMillis)
        val drained = (rate * age / MILLIS_PER_SECOND).toLong()
        val ownWaiting = added.filter { !it.prefillDone }.sumOf { it.prefillTokens }
        val waiting = report.queuedPrefillTokens + added.sumOf { it.prefillTokens } - drained
        val running = maxOf(state.ownRunning, report.running + added.size - ended)
        return EndpointLoad(running, maxOf(ownWaiting - drained, waiting, 0), state.ownRunning, age)
    }

    /** Forgets [endpoint], for example when it leaves the configuration. */
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
        val recent = ArrayList<Dispatch>()

        fun ownLoad(): EndpointLoad {
            val waiting = recent.filter { !it.prefillDone }.sumOf { it.prefillTokens }
            return EndpointLoad(ownRunning, waiting, ownRunning, null)
        }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000
    }
}
