package org.parsleymoor.gateway.serving

import org.parsleymoor.core.EndpointId
import org.parsleymoor.limits.ColdStartEvent

/** Limits work for engines in cold start (I4). Functions are called with the fleet's lock held and do not wait. */
internal interface ColdStartGuard {
    /** Whether one more request may be sent to [endpoint] while [running] are running there. */
    fun maySend(endpoint: EndpointId, running: Int, nowMillis: Long): Boolean

    /** Whether [endpoint] is in cold start. */
    fun isCold(endpoint: EndpointId): Boolean

    /** Takes in what the data path or a load report says about an endpoint. */
    fun accept(event: ColdStartEvent, nowMillis: Long)
}

/**
 * Holds back work for engines that report themselves cold. It knows nothing of other gateways, so it holds the limit
 * for a deployment of one gateway only; with several, a guard with leases takes its place.
 */
internal class ReportedColdStart(private val limit: () -> Int) : ColdStartGuard {
    private val cold = HashSet<EndpointId>()

    override fun maySend(endpoint: EndpointId, running: Int, nowMillis: Long): Boolean =
        endpoint !in cold || running < limit()

    override fun isCold(endpoint: EndpointId): Boolean = endpoint in cold

    override fun accept(event: ColdStartEvent, nowMillis: Long) {
        when (event) {
            is ColdStartEvent.Seen -> if (event.cold) cold += event.endpoint else cold -= event.endpoint
            is ColdStartEvent.RefusedAsCold -> cold += event.endpoint
            is ColdStartEvent.Answered, is ColdStartEvent.LeaseHeld, is ColdStartEvent.LeaseLost -> Unit
        }
    }
}
