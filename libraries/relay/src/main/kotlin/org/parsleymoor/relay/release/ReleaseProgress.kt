package org.parsleymoor.relay.release

import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.rendezvousOrder
import org.parsleymoor.relay.fleet.EndpointState

/**
 * One order on this instance: the newest step, what this instance may send to the target, and the evidence. Nothing
 * goes to the target before a step is known, nor while the traffic has not begun to move and no holder repeats the
 * step. An order that has [end]ed stays so, but one that is stored as completed is. Not thread-safe.
 */
internal class ReleaseProgress(
    val order: ReleaseOrder,
    limit: ExposureLimit,
    orderMillis: Long,
    isFromStart: Boolean,
) {
    /** When the operator gave the order. */
    var orderMillis: Long = orderMillis
        private set

    /** The newest step, or null. */
    var step: ReleaseStep? = null
        private set

    /** When [step] changed what it says. */
    var stepMillis: Long = orderMillis
        private set

    /** How the order ended, or null. */
    var end: ReleaseEnd? = null
        private set

    /** Whether more traffic moves than the exposure limit allows. */
    val isMoving: Boolean get() = end == null && (step?.stage ?: ReleaseStage.TRIAL) >= ReleaseStage.SHIFT

    val evidence = ReleaseEvidence()
    val tally = ReleaseTally()
    private val credit = ExposureCredit(limit, isFromStart)
    private var confirmedMillis: Long? = null
    private var loaded: Set<EndpointId> = emptySet()
    private var usable: Int = 0

    /** Takes over [step] if it is not older than the known one; [isFromHolder] if it was not passed on in a report. */
    fun learn(step: ReleaseStep, isFromHolder: Boolean, nowMillis: Long) {
        val known = this.step
        if (known?.isNewerThan(step) == true) return
        if (isFromHolder) confirmedMillis = nowMillis
        if (known?.stage != step.stage || known.share != step.share) stepMillis = nowMillis
        this.step = step
    }

    /** Records that the order ended; returns whether that is news. */
    fun end(end: ReleaseEnd): Boolean {
        val before = this.end?.state
        val isNews = before == null || end.state == ReleaseState.COMPLETED && before != end.state
        if (isNews) this.end = end
        return isNews
    }

    /** Records what an instance reports. */
    fun learn(report: ReleaseReport, nowMillis: Long) {
        orderMillis = minOf(orderMillis, nowMillis - report.orderAgeMillis)
        report.applied?.let { learn(it, isFromHolder = false, nowMillis) }
        evidence.learn(report, nowMillis)
    }

    /** Updates which endpoints of the target take requests; [endpoints] are all that serve the service. */
    fun update(endpoints: List<EndpointState>, nowMillis: Long) {
        val warm = endpoints.filter { it.entry.release == order.target && !it.isCold(nowMillis) }.map { it.entry.id }
        val share = step?.share ?: 0.0
        val count = (share * warm.size * LOADED_CONCENTRATION).toInt().coerceAtLeast(1)
        loaded = rendezvousOrder(order.target, warm) { it.value }.take(count).toSet()
        usable = if (step?.stage == ReleaseStage.LOADED) loaded.size else warm.size
    }

    /** Returns in what the target is worse than the other releases, or null. */
    fun worse(): String? = evidence.worse(usable)

    /** Decides whether a request of a caller goes to the target. */
    fun takesTarget(place: ExposureCredit.Place?, nowMillis: Long): Boolean {
        credit.recordRequest()
        val step = currentStep(nowMillis)
        return end == null && step != null && credit.tryTake(step, place)
    }

    /**
     * Returns which endpoints a request may go to, in the order in which they are tried; [toTarget] is what was decided
     * for it.
     */
    fun choices(toTarget: Boolean, nowMillis: Long): List<(EndpointState) -> Boolean> {
        val ofTarget: (EndpointState) -> Boolean = { it.entry.release == order.target }
        val ofOthers: (EndpointState) -> Boolean = { it.entry.release != order.target }
        val step = currentStep(nowMillis).takeIf { end == null }
        return when (step?.stage) {
            null -> listOf(ofOthers)
            ReleaseStage.TRIAL -> if (toTarget) listOf(ofTarget, ofOthers) else listOf(ofOthers)
            ReleaseStage.LOADED -> if (toTarget) listOf({ it.entry.id in loaded }, ofOthers) else listOf(ofOthers)
            ReleaseStage.SHIFT ->
                if (toTarget || step.share >= 1) listOf(ofTarget, ofOthers) else listOf(ofOthers, ofTarget)
            ReleaseStage.CLOSED -> listOf(ofTarget)
        }
    }

    /** Returns what this instance reports to the others. */
    fun report(origin: InstanceId, inFlight: Int, nowMillis: Long) = ReleaseReport(
        origin = origin,
        order = order,
        orderAgeMillis = nowMillis - orderMillis,
        applied = step,
        appliedMillis = nowMillis - stepMillis,
        flow = tally.flow(inFlight, nowMillis),
        routes = tally.routeAnswers(),
        endpoints = tally.endpointAnswers(),
        end = end,
    )

    /** Traffic that has begun to move stays where it is while the holder is silent: the others may have stopped. */
    private fun currentStep(nowMillis: Long): ReleaseStep? = step?.takeIf { known ->
        known.stage >= ReleaseStage.SHIFT || confirmedMillis?.let { nowMillis - it < STEP_LIFE_MILLIS } == true
    }

    private companion object {
        // Four repetitions, of which some may be lost with a connection.
        const val STEP_LIFE_MILLIS = 2_000L

        // The exposure limit lets through about this part of the share.
        const val LOADED_CONCENTRATION = 0.6
    }
}
