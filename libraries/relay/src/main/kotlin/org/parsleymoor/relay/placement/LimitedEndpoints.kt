package org.parsleymoor.relay.placement

import org.parsleymoor.relay.fleet.EndpointState
import org.parsleymoor.relay.fleet.EndpointTable
import org.parsleymoor.relay.fleet.LimitPermission

/**
 * Endpoints by what their limits allow now, in [groups] of which the first that can serve a request is used. If all are
 * empty, the next permission is expected after [waitMillis].
 */
internal class LimitedEndpoints(groups: List<List<EndpointState>>, val waitMillis: Long) {
    private val groups = groups.filter { it.isNotEmpty() }

    /** Whether no endpoint has a permission left. */
    val isExhausted: Boolean get() = groups.isEmpty()

    /** Returns the first selection of [select] among the groups in order, or what it returns for the last. */
    fun <T> firstSelected(select: (List<EndpointState>) -> T, isSelected: (T) -> Boolean): T {
        var selected = select(groups.firstOrNull().orEmpty())
        for (group in groups.drop(1)) {
            if (!isSelected(selected)) selected = select(group)
        }
        return selected
    }
}

// A permission that is kept for a request that has begun is taken at its next attempt.
private const val KEPT_MILLIS = 100L

/**
 * Divides [endpoints] by their limits for [query]; those that [hasNeed] of are open while there is any permission. A
 * permission that has been left for a while is used first, whatever the endpoint costs: only a response tells that a
 * limit is over, and callers near other endpoints would never ask for one.
 */
internal fun EndpointTable.byLimit(
    endpoints: List<EndpointState>,
    query: PlacementQuery,
    nowMillis: Long,
    hasNeed: (EndpointState) -> Boolean = { false },
): LimitedEndpoints {
    if (limits.named.isEmpty) return LimitedEndpoints(listOf(endpoints), 0)
    val permissions = endpoints.associateWith { limits.permission(it, nowMillis) }
    val unlimited = endpoints.filter { permissions[it] == LimitPermission.Unlimited }
    val spare = endpoints.filter { permissions[it] == LimitPermission.Spare }
    val scarce = endpoints.filter { permissions[it] == LimitPermission.Scarce }
    val waits = permissions.values.filterIsInstance<LimitPermission.Wait>()
    val waitMillis = waits.minOfOrNull { it.millis } ?: KEPT_MILLIS
    val kept = limits.isNeeded(query.service, nowMillis)
    if (query.hasBegun && unlimited.isEmpty()) limits.recordNeed(query.service, nowMillis)
    val groups = when {
        query.hasBegun -> listOf(unlimited + spare + scarce)
        query.isSuccessor || kept -> listOf(unlimited)
        else -> {
            // A caller that returns is not kept waiting by a trial, and an endpoint that fails is not tried like this.
            val (trials, rest) = spare.partition { !query.isRetry && !it.health.isEjected(nowMillis) }
            val (needed, others) = scarce.partition(hasNeed)
            listOf(trials, unlimited + rest + needed, others)
        }
    }
    return LimitedEndpoints(groups, waitMillis)
}
