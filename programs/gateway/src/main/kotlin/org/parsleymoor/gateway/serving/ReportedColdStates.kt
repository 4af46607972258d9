package org.parsleymoor.gateway.serving

import org.parsleymoor.core.EndpointId
import org.parsleymoor.limits.ColdStartEvent

/**
 * Tracks which engines are cold according to their own reports. An engine without a report is cold; an engine whose
 * start count has increased is cold until a report of that start says otherwise. Not thread-safe.
 */
internal class ReportedColdStates {
    private val engines = HashMap<EndpointId, ColdState>()

    fun isCold(endpoint: EndpointId): Boolean = engines[endpoint]?.cold ?: true

    /** The cold engines for which an event has been received. */
    fun coldEngines(): List<EndpointId> = engines.filterValues { it.cold }.keys.toList()

    /** Applies [event]; returns whether the engine is new or has become cold or warm. */
    fun accept(event: ColdStartEvent): Boolean {
        val prior = engines[event.endpoint]
        val next = when (event) {
            is ColdStartEvent.Seen -> stateAfter(prior, event)
            is ColdStartEvent.RefusedAsCold -> ColdState(prior?.startCount ?: 0, cold = true)
            is ColdStartEvent.Answered, is ColdStartEvent.LeaseHeld, is ColdStartEvent.LeaseLost -> prior
        }
        if (next != null) engines[event.endpoint] = next
        return next?.cold != prior?.cold
    }

    private fun stateAfter(prior: ColdState?, event: ColdStartEvent.Seen): ColdState =
        if (prior != null && event.startCount < prior.startCount) prior else ColdState(event.startCount, event.cold)

    private data class ColdState(val startCount: Long, val cold: Boolean)
}
