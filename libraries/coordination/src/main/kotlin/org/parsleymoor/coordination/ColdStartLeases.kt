package org.parsleymoor.coordination

import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.Incarnation

/** An input of [ColdStartLeases] about one endpoint. */
public sealed interface ColdLeaseEvent {
    /** Whether the endpoint is cold; [contends] says whether this gateway is among the first to try for its lease. */
    public data class ColdState(public val cold: Boolean, public val contends: Boolean) : ColdLeaseEvent

    /** The result of a platform operation on `leases/cold.{endpoint}`. */
    public data class Lease(public val event: LeaseEvent) : ColdLeaseEvent

    /** A load report that was requested at [sentMillis] counts [running] requests of all gateways. */
    public data class LoadRead(public val sentMillis: Long, public val running: Int) : ColdLeaseEvent

    /** Time has passed. */
    public data object Tick : ColdLeaseEvent
}

/** Permission to send to a cold endpoint until [untilMillis]; [foreignRunning] requests of others use up its limit. */
public data class ColdStartGrant(public val untilMillis: Long, public val foreignRunning: Int)

/**
 * The leases on cold endpoints. Only the holder sends to the endpoint, so that its limit holds for all gateways
 * combined (invariant I4). A new holder waits until requests that its predecessor dispatched are delivered, then for a
 * load report. It counts the requests in that report against the limit until later reports show fewer.
 */
public class ColdStartLeases(
    private val self: Incarnation,
    private val settings: LeaseSettings = LeaseSettings(),
) {
    private val endpoints = HashMap<EndpointId, ColdEndpoint>()

    /** Applies [event] about [endpoint] at [nowMillis] and returns the platform operations to start. */
    public fun handle(nowMillis: Long, endpoint: EndpointId, event: ColdLeaseEvent): List<LeaseAction> {
        val state = endpoints.getOrPut(endpoint) { ColdEndpoint(LeaseManager("cold.$endpoint", self, settings)) }
        return state.handle(nowMillis, event)
    }

    /** Advances every lease to [nowMillis] and returns the platform operations to start. */
    public fun tick(nowMillis: Long): Map<EndpointId, List<LeaseAction>> =
        endpoints.mapValues { it.value.handle(nowMillis, ColdLeaseEvent.Tick) }.filterValues { it.isNotEmpty() }

    /** Returns the permission to send to the cold [endpoint] at [nowMillis], or null if there is none. */
    public fun grant(nowMillis: Long, endpoint: EndpointId): ColdStartGrant? = endpoints[endpoint]?.grant(nowMillis)
}

private class ColdEndpoint(private val lease: LeaseManager) {
    private var leaseStartMillis: Long? = null
    private var foreignRunning: Int? = null

    fun handle(nowMillis: Long, event: ColdLeaseEvent): List<LeaseAction> {
        val actions = when (event) {
            is ColdLeaseEvent.ColdState -> lease.handle(nowMillis, LeaseEvent.Wanted(wantsLease(nowMillis, event)))
            is ColdLeaseEvent.Lease -> lease.handle(nowMillis, event.event)
            is ColdLeaseEvent.LoadRead -> emptyList()
            is ColdLeaseEvent.Tick -> lease.handle(nowMillis, LeaseEvent.Tick)
        }
        trackLease(nowMillis)
        if (event is ColdLeaseEvent.LoadRead) count(event)
        return actions
    }

    fun grant(nowMillis: Long): ColdStartGrant? {
        val held = lease.held(nowMillis)
        val foreign = foreignRunning
        if (held == null || foreign == null || held.unfencedFromMillis != leaseStartMillis) return null
        return ColdStartGrant(held.untilMillis, foreign)
    }

    /** A holder keeps the lease while the endpoint is cold, even if other gateways now rank before it. */
    private fun wantsLease(nowMillis: Long, event: ColdLeaseEvent.ColdState): Boolean =
        event.cold && (event.contends || lease.held(nowMillis) != null)

    private fun trackLease(nowMillis: Long) {
        val held = lease.held(nowMillis)
        if (held != null && held.unfencedFromMillis == leaseStartMillis) return
        leaseStartMillis = held?.unfencedFromMillis
        foreignRunning = null
    }

    private fun count(report: ColdLeaseEvent.LoadRead) {
        val taken = leaseStartMillis ?: return
        if (report.sentMillis >= taken) foreignRunning = minOf(foreignRunning ?: Int.MAX_VALUE, report.running)
    }
}
