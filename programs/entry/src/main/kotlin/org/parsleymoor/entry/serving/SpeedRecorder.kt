package org.parsleymoor.entry.serving

import kotlinx.serialization.json.put
import org.parsleymoor.core.Clock
import org.parsleymoor.entry.EntryMetrics
import org.parsleymoor.entry.log.StructuredLog
import org.parsleymoor.relay.exchange.PeerUpdate
import org.parsleymoor.relay.fleet.EndpointState
import org.parsleymoor.relay.fleet.ReportedLoad
import org.parsleymoor.relay.speed.change

/** Records how long endpoints take to answer, and logs and counts those whose speed becomes unusual or usual again. */
internal class SpeedRecorder(
    private val deployment: DeploymentView,
    private val lag: EventLoopLag,
    private val log: StructuredLog,
    private val metrics: EntryMetrics,
    private val clock: Clock,
) {
    private val endpoints = deployment.endpoints

    /** Records a complete answer of a plain endpoint to [pending] in [exchange], which stated [load]. */
    fun ran(pending: PendingRequest, exchange: EndpointExchange, load: ReportedLoad?) {
        val progress = exchange.progress
        val isKnownWait = load != null || !progress.waitsForSlot
        if (pending.prompt != null || !isKnownWait || !isMeasurable(exchange)) return
        val nowMillis = clock.nowMillis()
        val millis = exchange.workMillis(nowMillis)
        val speed = exchange.target.endpoint.speed
        val runs = load?.expectedRuns ?: 1.0
        endpoints.usualTimes.record(speed, pending.workKind, millis, nowMillis, runs)
        if (runs == 1.0) endpoints.usualTimes.recordRun(pending.service.name, speed, millis, nowMillis)
        announce(exchange.target.endpoint)
    }

    /** Records that the first event of an engine's answer to [pending] has arrived in [exchange]. */
    fun firstEvent(pending: PendingRequest, exchange: EndpointExchange) {
        val target = exchange.target
        val isFirst = pending.prompt != null && target.load != null && pending.sendCount == 1
        if (!isFirst || !isMeasurable(exchange)) return
        val nowMillis = clock.nowMillis()
        endpoints.usualTimes.record(
            speed = target.endpoint.speed,
            kind = pending.workKind,
            millis = exchange.workMillis(nowMillis),
            nowMillis = nowMillis,
            expectedMillis = target.place.run { (estimateMillis - distanceMillis) / workFactor },
        )
        announce(target.endpoint)
    }

    /** Logs the endpoints whose speed has changed since the last call. */
    fun logChanges() {
        val nowMillis = clock.nowMillis()
        for (state in endpoints.all) {
            val change = state.speed.change(nowMillis) ?: continue
            if (change.isUnusual) metrics.endpointSpeeds.increment()
            log.write(if (change.isUnusual) "endpoint.speedUnusual" else "endpoint.speedUsual", always = true) {
                put("endpoint", state.entry.id.value)
                put("endpointStart", state.entry.startMillis)
                put("workPercent", (change.factor * PERCENT).toInt())
            }
        }
    }

    private fun announce(state: EndpointState) {
        state.speed.takeUntold()?.let {
            deployment.announce(PeerUpdate.Measured(deployment.self, state.incarnation, it))
        }
    }

    /** An instance that is behind measures itself, and a cold endpoint is slow for a while. */
    private fun isMeasurable(exchange: EndpointExchange): Boolean =
        lag.millis < MAX_LAG_MILLIS && !exchange.target.endpoint.isCold(exchange.progress.sentMillis)

    private fun EndpointExchange.workMillis(nowMillis: Long): Double =
        nowMillis - progress.sentMillis - target.place.distanceMillis

    private val PendingRequest.workKind: String get() = "${service.name}/${route.name}"

    private companion object {
        const val PERCENT = 100
        const val MAX_LAG_MILLIS = 40L
    }
}
