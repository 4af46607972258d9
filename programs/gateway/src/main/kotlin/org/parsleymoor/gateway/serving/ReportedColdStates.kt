package org.parsleymoor.gateway.serving

import org.parsleymoor.core.EndpointId
import org.parsleymoor.limits.ColdStartEvent

/**
 * Which engines are cold by their own reports. An engine that has not been heard of is cold, and so is one whose start
 * count has risen, until a report of that start says otherwise. Not safe for use from several threads.
 */
internal class ReportedColdStates {
    private val engines = HashMap<EndpointId, Warmth>()

    fun isCold(endpoint: EndpointId): Boolean = engines[endpoint]?.cold ?: true

    /** The cold engines that have been heard of. */
    fun coldEngines(): List<EndpointId> = engines.filterValues { it.cold }.keys.toList()

    /** Takes in [event] and returns whether the engine turned cold or warm, or is new. */
    fun accept(event: ColdStartEvent): Boolean {
        val known = engines[event.endpoint]
        val next = when (event) {
            is ColdStartEvent.Seen -> seen(known, event)
            is ColdStartEvent.RefusedAsCold -> Warmth(known?.startCount ?: 0, cold = true)
            is ColdStartEvent.Answered, is ColdStartEvent.LeaseHeld, is ColdStartEvent.LeaseLost -> known
        }
        if (next != null) engines[event.endpoint] = next
        return next?.cold != known?.cold
    }

    private fun seen(known: Warmth?, event: ColdStartEvent.Seen): Warmth =
        if (known != null && event.startCount < known.startCount) known else Warmth(event.startCount, event.cold)

    private data class Warmth(val startCount: Long, val cold: Boolean)
}
