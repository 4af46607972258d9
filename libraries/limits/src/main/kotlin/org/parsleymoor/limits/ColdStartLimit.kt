package org.parsleymoor.limits

import org.parsleymoor.core.EndpointId

/**
 * Settings of a [ColdStartLimit]. A cold endpoint may run [limit] requests at once. It becomes warm after
 * [warmUpAnswers] answers, but not before [warmUpMillis] have passed since it became cold. A warm endpoint becomes cold
 * after [slowAnswersUntilCold] answers in a row that took longer than [slowAnswerFactor] times the estimate.
 */
public data class ColdStartSettings(
    public val limit: Int = 2,
    public val warmUpAnswers: Int = 20,
    public val warmUpMillis: Long = 30_000,
    public val slowAnswerFactor: Double = 4.0,
    public val slowAnswersUntilCold: Int = 3,
)

/** An event that may change whether an endpoint is cold or warm. */
public sealed interface ColdStartEvent {
    /** The endpoint to which the event applies. */
    public val endpoint: EndpointId

    /** A load report or a stream header carried [startCount]; [cold] says whether the endpoint reports itself cold. */
    public data class Seen(
        override val endpoint: EndpointId,
        public val startCount: Long,
        public val cold: Boolean = false,
    ) : ColdStartEvent

    /** The endpoint refused a request because it is cold. */
    public data class RefusedAsCold(override val endpoint: EndpointId) : ColdStartEvent

    /** The endpoint answered with a time to first token of [observedMillis], estimated at [expectedMillis]. */
    public data class Answered(
        override val endpoint: EndpointId,
        public val observedMillis: Double,
        public val expectedMillis: Double,
    ) : ColdStartEvent

    /** This process holds `leases/cold.{endpoint}` until [untilMillis], which already allows for the safety margin. */
    public data class LeaseHeld(override val endpoint: EndpointId, public val untilMillis: Long) : ColdStartEvent

    /** This process has released or lost the lease. */
    public data class LeaseLost(override val endpoint: EndpointId) : ColdStartEvent
}

/** An action for the gateway when an endpoint becomes cold or warm. */
public sealed interface ColdStartAction {
    /** The endpoint to which the action applies. */
    public val endpoint: EndpointId

    /** The limit applies from now on: place requests queued beyond it again, and try to acquire the lease. */
    public data class BecameCold(override val endpoint: EndpointId) : ColdStartAction

    /** The limit no longer applies: the lease may be released. */
    public data class BecameWarm(override val endpoint: EndpointId) : ColdStartAction
}

/** Whether one more request may be sent to an endpoint and, if not, why. */
public enum class ColdStartDecision { WARM, SLOT_FREE, NO_SLOT, NO_LEASE }

/**
 * Limits the load of endpoints in cold start (I4). An endpoint that has never been seen is cold. Only the gateway that
 * holds its lease sends to a cold endpoint, so that gateway's own count of running requests covers all gateways, except
 * for requests sent before the endpoint became cold. The caller therefore passes the larger of its own count and the
 * reported one. Not thread-safe.
 */
public class ColdStartLimit(private val settings: ColdStartSettings = ColdStartSettings()) {
    private val endpoints = HashMap<String, EndpointState>()

    /** Applies [event] at [nowMillis]; returns an action if the endpoint became cold or warm. */
    public fun accept(event: ColdStartEvent, nowMillis: Long): List<ColdStartAction> {
        val state = endpoints.getOrPut(event.endpoint.value) { EndpointState(nowMillis) }
        val wasCold = state.cold
        when (event) {
            is ColdStartEvent.Seen -> seen(state, event, nowMillis)
            is ColdStartEvent.RefusedAsCold -> state.becomeCold(nowMillis)
            is ColdStartEvent.Answered -> answered(state, event, nowMillis)
            is ColdStartEvent.LeaseHeld -> state.leaseUntilMillis = event.untilMillis
            is ColdStartEvent.LeaseLost -> state.leaseUntilMillis = Long.MIN_VALUE
        }
        return actions(event.endpoint, wasCold, state.cold)
    }

    /** Decides whether one more request may be sent to [endpoint], on which [running] requests are running. */
    public fun decide(endpoint: EndpointId, running: Int, nowMillis: Long): ColdStartDecision {
        val state = endpoints[endpoint.value] ?: return ColdStartDecision.NO_LEASE
        return when {
            !state.cold -> ColdStartDecision.WARM
            nowMillis >= state.leaseUntilMillis -> ColdStartDecision.NO_LEASE
            running >= settings.limit -> ColdStartDecision.NO_SLOT
            else -> ColdStartDecision.SLOT_FREE
        }
    }

    /** Returns whether [endpoint] is cold; one that has never been seen is. */
    public fun isCold(endpoint: EndpointId): Boolean = endpoints[endpoint.value]?.cold ?: true

    /** Removes [endpoint], so that it is cold when it returns. */
    public fun forget(endpoint: EndpointId) {
        endpoints -= endpoint.value
    }

    private fun seen(state: EndpointState, event: ColdStartEvent.Seen, nowMillis: Long) {
        val knownStartCount = state.startCount
        if (knownStartCount != null && event.startCount < knownStartCount) return
        state.startCount = event.startCount
        state.reportsCold = event.cold
        if (event.cold || (knownStartCount != null && event.startCount > knownStartCount)) state.becomeCold(nowMillis)
        warmIfDue(state, nowMillis)
    }

    private fun answered(state: EndpointState, event: ColdStartEvent.Answered, nowMillis: Long) {
        state.answersSinceCold++
        val slow = event.observedMillis > settings.slowAnswerFactor * event.expectedMillis
        state.slowAnswers = if (slow) state.slowAnswers + 1 else 0
        if (!state.cold && state.slowAnswers >= settings.slowAnswersUntilCold) state.becomeCold(nowMillis)
        warmIfDue(state, nowMillis)
    }

    private fun warmIfDue(state: EndpointState, nowMillis: Long) {
        val warmedUp = state.answersSinceCold >= settings.warmUpAnswers &&
            nowMillis - state.coldSinceMillis >= settings.warmUpMillis
        if (warmedUp && !state.reportsCold) state.cold = false
    }

    private fun actions(endpoint: EndpointId, wasCold: Boolean, isCold: Boolean): List<ColdStartAction> = when {
        isCold && !wasCold -> listOf(ColdStartAction.BecameCold(endpoint))
        wasCold && !isCold -> listOf(ColdStartAction.BecameWarm(endpoint))
        else -> emptyList()
    }

    private class EndpointState(var coldSinceMillis: Long) {
        var cold = true
        var startCount: Long? = null
        var reportsCold = false
        var answersSinceCold = 0
        var slowAnswers = 0
        var leaseUntilMillis = Long.MIN_VALUE

        fun becomeCold(nowMillis: Long) {
            cold = true
            coldSinceMillis = nowMillis
            answersSinceCold = 0
            slowAnswers = 0
        }
    }
}
