package org.parsleymoor.relay.placement

import org.parsleymoor.relay.fleet.EndpointState
import org.parsleymoor.relay.fleet.EndpointTable
import org.parsleymoor.relay.fleet.isPaused
import org.parsleymoor.relay.fleet.shortestPauseMillis

/**
 * Settings of [ServicePlacement]. The first three are costs, expressed as a number of waiting requests: the cost of an
 * endpoint in another availability zone, of one in another region, and of one whose recent attempts all failed. A run
 * takes [expectedRunMillis] unless the answers of the service's endpoints differ measurably from that.
 */
public data class ServicePlacementSettings(
    public val otherZoneRequests: Double = 1.5,
    public val otherRegionRequests: Double = 4.0,
    public val failurePenaltyRequests: Double = 12.0,
    public val expectedRunMillis: Double = 45.0,
    public val otherZoneMillis: Double = 3.0,
    public val otherRegionMillis: Double = 45.0,
)

/**
 * Selects the replica of a service without engines that has the lowest cost: distance, load and recent failures. An
 * ejected endpoint is used only when there is no other.
 */
public class ServicePlacement(
    private val topology: Topology,
    private val settings: ServicePlacementSettings = ServicePlacementSettings(),
) {
    /** Selects one of the endpoints in [table] that serve [query]. */
    public fun choose(query: PlacementQuery, table: EndpointTable, nowMillis: Long): PlacementResult {
        val inRegions = table.serving(query.service).filter { state ->
            query.accepts(state) && query.allowedRegions.all { topology.isAllowed(state.entry.zone, it) }
        }
        val pausedMillis = table.shortestPauseMillis(inRegions, nowMillis)
        return if (pausedMillis != null) {
            PlacementResult.Unavailable(UnavailableReason.PAUSED, pausedMillis)
        } else {
            val allowed =
                inRegions.filter { it.entry.id !in query.tried && !table.isPaused(it.incarnation, nowMillis) }
            selectWithinLimits(query, table, allowed, nowMillis)
        }
    }

    private fun selectWithinLimits(
        query: PlacementQuery,
        table: EndpointTable,
        allowed: List<EndpointState>,
        nowMillis: Long,
    ): PlacementResult {
        val limited = table.byLimit(allowed, query, nowMillis)
        return if (allowed.isNotEmpty() && limited.isExhausted) {
            PlacementResult.Unavailable(UnavailableReason.LIMITED, limited.waitMillis)
        } else {
            val runMillis = runMillis(table.usualTimes.runMillis(query.service))
            limited.firstSelected({ select(query, it, runMillis, nowMillis) }) { it is PlacementResult.Selected }
        }
    }

    private fun runMillis(measured: Double?): Double {
        val expected = settings.expectedRunMillis
        val isAsExpected = measured == null || measured / expected in AS_EXPECTED
        return if (isAsExpected) expected else measured
    }

    private fun select(
        query: PlacementQuery,
        allowed: List<EndpointState>,
        runMillis: Double,
        nowMillis: Long,
    ): PlacementResult {
        val healthy = allowed.filterNot { it.health.isEjected(nowMillis) }.orLastResort(query, allowed)
            .filterNot { query.isSuccessor && it.hasRefused(nowMillis) }
        val selected = healthy.minByOrNull { cost(it, nowMillis) }
            ?: return PlacementResult.Unavailable(UnavailableReason.NO_ENDPOINT, NO_ENDPOINT_RETRY_MILLIS)
        val factor = selected.speed.workFactor(nowMillis)
        val wait = waitMillis(selected, runMillis, nowMillis) * factor
        return if (wait > query.remainingMillis) {
            PlacementResult.Unavailable(UnavailableReason.OVERLOADED, wait.toLong())
        } else {
            PlacementResult.Selected(selected, wait + runMillis * factor, distanceMillis(selected), factor)
        }
    }

    private fun cost(state: EndpointState, nowMillis: Long): Double {
        val distance = when (topology.distance(state.entry.zone)) {
            Distance.SAME_ZONE -> 0.0
            Distance.SAME_REGION -> settings.otherZoneRequests
            Distance.OTHER_REGION -> settings.otherRegionRequests
        }
        val requests = state.estimatedRequests(nowMillis)
        val excess = (requests - state.entry.slots / 2.0).coerceAtLeast(0.0)
        // The run itself takes longer too, which costs as much as half of the slots being taken.
        val slowness = (state.speed.workFactor(nowMillis) - 1) * (requests / 2 + excess * 2 + state.entry.slots / 2.0)
        return distance + requests / 2 + excess * 2 + slowness +
            settings.failurePenaltyRequests * state.health.recentFailures
    }

    private fun distanceMillis(state: EndpointState): Double = when (topology.distance(state.entry.zone)) {
        Distance.SAME_ZONE -> 0.0
        Distance.SAME_REGION -> settings.otherZoneMillis
        Distance.OTHER_REGION -> settings.otherRegionMillis
    }

    private fun waitMillis(state: EndpointState, runMillis: Double, nowMillis: Long): Double {
        val queued = (state.estimatedRequests(nowMillis) - state.entry.slots).coerceAtLeast(0.0)
        return queued * runMillis / state.entry.slots.coerceAtLeast(1)
    }

    private companion object {
        // An endpoint that restarts registers within a heartbeat, about a second.
        const val NO_ENDPOINT_RETRY_MILLIS = 700L

        val AS_EXPECTED = 1 / 1.4..1.4
    }
}
