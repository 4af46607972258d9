package org.parsleymoor.limits

import org.parsleymoor.core.EndpointId

/** Bounds of a [ColdStartLimit]. An endpoint is warm after [answers] answers and [millis] since it became cold. */
public data class ColdStartSettings(
    public val limit: Int = 2,
    public val answers: Int = 20,
    public val millis: Long = 30_000,
    public val slowAnswerFactor: Double = 4.0,
    public val slowAnswersUntilCold: Int = 3,
)

/** What a gateway learns about the warmth of an endpoint. */
public sealed interface ColdStartEvent {
    /** The endpoint that the event is about. */
    public val endpoint: EndpointId

    /** A load report or a stream header carried [startCount]; [cold] is the endpoint's own statement. */
    public data class Seen(
        override val endpoint: EndpointId,
        public val startCount: Long,
        public val cold: Boolean = false,
    ) : ColdStartEvent

    /** The endpoint refused a request because it is cold. */
    public data class RefusedAsCold(override val endpoint: EndpointId) : ColdStartEvent

    /** The endpoint answered; [observedMillis] to the first token, where [expectedMillis] had been estimated. */
    public data class Answered(
        override val endpoint: EndpointId,
        public val observedMillis: Double,
        public val expectedMillis: Double,
    ) : ColdStartEvent

    /** This process holds `leases/cold.{endpoint}` until [untilMillis], already shortened to its safe part. */
    public data class LeaseHeld(override val endpoint: EndpointId, public val untilMillis: Long) : ColdStartEvent

    /** This process has released or lost the lease. */
    public data class LeaseLost(override val endpoint: EndpointId) : ColdStartEvent
}

/** What a change of warmth asks of the gateway. */
public sealed interface ColdStartAction {
    /** The endpoint that the action is about. */
    public val endpoint: EndpointId

    /** The limit applies from now on: place again what is queued for the endpoint beyond it, and try for the lease. */
    public data class BecameCold(override val endpoint: EndpointId) : ColdStartAction

    /** The limit is lifted: the lease may be released. */
    public data class BecameWarm(override val endpoint: EndpointId) : ColdStartAction
}

/** Whether one more request may be sent to an endpoint. */
public enum class ColdStartDecision { WARM, SLOT_FREE, NO_SLOT, NO_LEASE }

/**
 * Limits the load of endpoints in cold start (I4). An endpoint that has never been seen is cold. Only the holder of its
 * lease sends to a cold endpoint, so its own count of running requests is the count of all gateways combined, except
 * for work that ran before the endpoint became cold; the caller passes the larger of both counts. Not safe for use from
 * several threads.
 */
public class ColdStartLimit(private val settings: ColdStartSettings = ColdStartSettings()) {
    private val endpoints = HashMap<String, State>()

    /** Takes in [event] at [nowMillis]; returns the change of warmth, if any. */
    public fun accept(event: ColdStartEvent, nowMillis: Long): List<ColdStartAction> {
        val state = endpoints.getOrPut(event.endpoint.value) { State(nowMillis) }
        val wasCold = state.cold
        when (event) {
            is ColdStartEvent.Seen -> seen(state, event, nowMillis)
            is ColdStartEvent.RefusedAsCold -> state.becomeCold(nowMillis)
            is ColdStartEvent.Answered -> answered(state, event, nowMillis)
            is ColdStartEvent.LeaseHeld -> state.leaseUntilMillis = event.untilMillis
            is ColdStartEvent.LeaseLost -> state.leaseUntilMillis = Long.MIN_VALUE
        }
        return changes(event.endpoint, wasCold, state.cold)
    }

    /** Returns whether one more request may be sent to [endpoint] when [running] are running there. */
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

    /** Forgets [endpoint], so that it is cold when it comes back. */
    public fun forget(endpoint: EndpointId) {
        endpoints -= endpoint.value
    }

    private fun seen(state: State, event: ColdStartEvent.Seen, nowMillis: Long) {
        val known = state.startCount
        if (known != null && event.startCount < known) return
        state.startCount = event.startCount
        state.reportsCold = event.cold
        if (event.cold || (known != null && event.startCount > known)) state.becomeCold(nowMillis)
        warmIfDue(state, nowMillis)
    }

    private fun answered(state: State, event: ColdStartEvent.Answered, nowMillis: Long) {
        state.answers++
        val slow = event.observedMillis > settings.slowAnswerFactor * event.expectedMillis
        state.slowAnswers = if (slow) state.slowAnswers + 1 else 0
        if (!state.cold && state.slowAnswers >= settings.slowAnswersUntilCold) state.becomeCold(nowMillis)
        warmIfDue(state, nowMillis)
    }

    private fun warmIfDue(state: State, nowMillis: Long) {
        val due = state.answers >= settings.answers && nowMillis - state.coldSinceMillis >= settings.millis
        if (due && !state.reportsCold) state.cold = false
    }

    private fun changes(endpoint: EndpointId, wasCold: Boolean, isCold: Boolean): List<ColdStartAction> = when {
        isCold && !wasCold -> listOf(ColdStartAction.BecameCold(endpoint))
        wasCold && !isCold -> listOf(ColdStartAction.BecameWarm(endpoint))
        else -> emptyList()
    }

    private class State(var coldSinceMillis: Long) {
        var cold = true
        var startCount: Long? = null
        var reportsCold = false
        var answers = 0
        var slowAnswers = 0
        var leaseUntilMillis = Long.MIN_VALUE

        fun becomeCold(nowMillis: Long) {
            cold = true
            coldSinceMillis = nowMillis
            answers = 0
            slowAnswers = 0
        }
    }
}
