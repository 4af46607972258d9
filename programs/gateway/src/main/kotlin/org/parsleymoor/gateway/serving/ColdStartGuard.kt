package org.parsleymoor.gateway.serving

import org.parsleymoor.core.EndpointId
import org.parsleymoor.limits.ColdStartEvent

/** Limits requests to engines in cold start (I4). Called with [FleetState.lock] held, so functions must not block. */
internal interface ColdStartGuard {
    /** Whether one more request may be sent to [endpoint] while [running] requests run there. */
    fun maySend(endpoint: EndpointId, running: Int, nowMillis: Long): Boolean

    /** Whether [endpoint] is in cold start. */
    fun isCold(endpoint: EndpointId): Boolean

    /** Applies an observation from the data path or from a load report. */
    fun accept(event: ColdStartEvent, nowMillis: Long)

    /** Records that a load report requested at [requestedMillis] shows [running] requests of all gateways. */
    fun loadRead(endpoint: EndpointId, requestedMillis: Long, running: Int, nowMillis: Long)
}

/**
 * Limits the requests of this gateway to engines that report themselves cold. It does not know about other gateways,
 * so it is used only without a platform; with a platform, a guard with leases replaces it.
 */
internal class LocalColdStartGuard(private val limit: () -> Int) : ColdStartGuard {
    private val coldStates = ReportedColdStates()

    override fun maySend(endpoint: EndpointId, running: Int, nowMillis: Long): Boolean =
        !coldStates.isCold(endpoint) || running < limit()

    override fun isCold(endpoint: EndpointId): Boolean = coldStates.isCold(endpoint)

    override fun accept(event: ColdStartEvent, nowMillis: Long) {
        coldStates.accept(event)
    }

    override fun loadRead(endpoint: EndpointId, requestedMillis: Long, running: Int, nowMillis: Long) = Unit
}
