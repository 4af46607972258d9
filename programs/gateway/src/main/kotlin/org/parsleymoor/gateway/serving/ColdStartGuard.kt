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

    /** Takes in that a load report asked for at [requestedMillis] shows [running] requests of all gateways. */
    fun loadRead(endpoint: EndpointId, requestedMillis: Long, running: Int, nowMillis: Long)
}

/**
 * Holds back work for engines that report themselves cold. It knows nothing of other gateways, so it holds the limit
 * for a gateway without a platform only; with one, a guard with leases takes its place.
 */
internal class LocalColdStartGuard(private val limit: () -> Int) : ColdStartGuard {
    private val warmth = ReportedColdStates()

    override fun maySend(endpoint: EndpointId, running: Int, nowMillis: Long): Boolean =
        !warmth.isCold(endpoint) || running < limit()

    override fun isCold(endpoint: EndpointId): Boolean = warmth.isCold(endpoint)

    override fun accept(event: ColdStartEvent, nowMillis: Long) {
        warmth.accept(event)
    }

    override fun loadRead(endpoint: EndpointId, requestedMillis: Long, running: Int, nowMillis: Long) = Unit
}
