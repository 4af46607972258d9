package org.parsleymoor.coordination

import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.Incarnation

/** What a [ColdStartLeases] is told about one endpoint. */
public sealed interface ColdLeaseEvent {
    /** The endpoint became cold or warm; [contends] says whether this gateway is among the first to try for it. */
    public data class ColdState(public val cold: Boolean, public val contends: Boolean) : ColdLeaseEvent

    /** What the platform answered about `leases/cold.{endpoint}`. */
    public data class Lease(public val event: LeaseEvent) : ColdLeaseEvent

    /** A load report that was asked for at [sentMillis] shows [running] requests of all gateways. */
    public data class LoadRead(public val sentMillis: Long, public val running: Int) : ColdLeaseEvent

    /** Time has passed. */
    public data object Tick : ColdLeaseEvent
}

/** The part of the limit of a cold endpoint that this gateway may use: until when, and what others still run there. */
public data class ColdStartGrant(public val untilMillis: Long, public val foreignRunning: Int)

/**
 * The leases on cold endpoints: the holder alone sends to the endpoint, so that the limit holds for all gateways
 * combined (I4). A new holder waits until dispatches of its predecessor are delivered and then for a load report, and
 * counts the requests found there against the limit until reports show fewer.
 */
public class ColdStartLeases(
    private val self: Incarnation,
    private val settings: LeaseSettings = LeaseSettings(),
) {
    private val endpoints = HashMap<EndpointId, ColdEndpoint>()

    /** Applies [event] about [endpoint] at [nowMillis] and returns the platform calls to make. */
    public fun handle(nowMillis: Long, endpoint: EndpointId, event: ColdLeaseEvent): List<LeaseAction> {
        val state = endpoints.getOrPut(endpoint) { ColdEndpoint(LeaseManager("cold.$endpoint", self, settings)) }
        return state.handle(nowMillis, event)
    }

    /** Passes the time to every lease. */
    public fun tick(nowMillis: Long): Map<EndpointId, List<LeaseAction>> =
        endpoints.mapValues { it.value.handle(nowMillis, ColdLeaseEvent.Tick) }.filterValues { it.isNotEmpty() }

    /** Returns what this gateway may send to the cold [endpoint] at [nowMillis]; null when nothing. */
    public fun grant(nowMillis: Long, endpoint: EndpointId): ColdStartGrant? = endpoints[endpoint]?.grant(nowMillis)
}

private class ColdEndpoint(private val holder: LeaseManager) {
    private var takenMillis: Long? = null
    private var foreignRunning: Int? = null

    fun handle(nowMillis: Long, event: ColdLeaseEvent): List<LeaseAction> {
        val actions = when (event) {
            is ColdLeaseEvent.ColdState -> holder.handle(nowMillis, LeaseEvent.Wanted(wants(nowMillis, event)))
            is ColdLeaseEvent.Lease -> holder.handle(nowMillis, event.event)
            is ColdLeaseEvent.LoadRead -> emptyList()
            is ColdLeaseEvent.Tick -> holder.handle(nowMillis, LeaseEvent.Tick)
        }
        follow(nowMillis)
        if (event is ColdLeaseEvent.LoadRead) count(event)
        return actions
    }

    fun grant(nowMillis: Long): ColdStartGrant? {
        val lease = holder.held(nowMillis)
        val foreign = foreignRunning
        if (lease == null || foreign == null || lease.unfencedFromMillis != takenMillis) return null
        return ColdStartGrant(lease.untilMillis, foreign)
    }

    /** A holder keeps the lease of a cold endpoint even when others come before it in the order of contenders. */
    private fun wants(nowMillis: Long, event: ColdLeaseEvent.ColdState): Boolean =
        event.cold && (event.contends || holder.held(nowMillis) != null)

    private fun follow(nowMillis: Long) {
        val lease = holder.held(nowMillis)
        if (lease != null && lease.unfencedFromMillis == takenMillis) return
        takenMillis = lease?.unfencedFromMillis
        foreignRunning = null
    }

    private fun count(report: ColdLeaseEvent.LoadRead) {
        val taken = takenMillis ?: return
        if (report.sentMillis >= taken) foreignRunning = minOf(foreignRunning ?: Int.MAX_VALUE, report.running)
    }
}
