package org.parsleymoor.relay.rollout

import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.ModelId
import org.parsleymoor.relay.fleet.EndpointState
import org.parsleymoor.relay.fleet.EndpointTable
import org.parsleymoor.relay.fleet.isPaused
import org.parsleymoor.relay.placement.TargetWeights
import kotlin.math.roundToInt

/** An engine that has to load [weights]. */
public data class PendingWeightLoad(public val endpoint: EndpointState, public val weights: TargetWeights)

/**
 * Selects the engines that load new weights next: the least loaded first, and only some at a time, because concurrent
 * loads slow each other down and the other engines have to serve meanwhile. Another instance may take over the rollout
 * when this one has sent no order for [takeoverMillis]. Not thread-safe.
 */
public class RolloutPlan(private val takeoverMillis: Long) {
    private val loading = HashSet<EndpointId>()
    private val retryAtMillis = HashMap<EndpointId, Long>()
    private var lastOrderMillis = Long.MIN_VALUE

    /** Returns the engines whose weights are older than [targets]. */
    public fun outdatedEngines(table: EndpointTable, targets: Map<ModelId, TargetWeights>): List<PendingWeightLoad> =
        table.all.filter { !it.entry.draining && it.missingSinceMillis == null && !table.isLeaving(it.incarnation) }
            .mapNotNull { state ->
                targets.values.firstOrNull { (state.weights(it.model) ?: Long.MAX_VALUE) < it.version }
                    ?.let { PendingWeightLoad(state, it) }
            }

    /** Returns the engines to which to send orders at [nowMillis]. */
    public fun enginesToLoad(
        table: EndpointTable,
        targets: Map<ModelId, TargetWeights>,
        nowMillis: Long
    ): List<PendingWeightLoad> {
        val engines = table.all.count { state -> targets.keys.any { state.weights(it) != null } }
        val available = maxOf(MIN_CONCURRENT_LOADS, (engines * CONCURRENT_LOAD_SHARE).roundToInt()) - loading.size
        return outdatedEngines(table, targets)
            .filterNot { table.isPaused(it.endpoint.incarnation, nowMillis) }
            .filter { it.endpoint.entry.id !in loading && nowMillis >= (retryAtMillis[it.endpoint.entry.id] ?: 0) }
            .sortedBy { it.endpoint.engineLoad?.running ?: it.endpoint.inFlight }
            .take(maxOf(available, 0))
    }

    /** Records that this instance starts to send orders to [endpoint]. */
    public fun loadStarted(endpoint: EndpointId, nowMillis: Long) {
        loading += endpoint
        orderSent(nowMillis)
    }

    /** Records that an order was sent. */
    public fun orderSent(nowMillis: Long) {
        lastOrderMillis = nowMillis
    }

    /** Records that orders to [endpoint] have ended; an engine that has not [loaded] is retried later. */
    public fun loadEnded(endpoint: EndpointId, loaded: Boolean, nowMillis: Long) {
        loading -= endpoint
        if (loaded) retryAtMillis -= endpoint else retryAtMillis[endpoint] = nowMillis + RETRY_MILLIS
    }

    /** Returns whether an order was sent so recently that no other instance should take over. */
    public fun isRecentlyActive(nowMillis: Long): Boolean = lastOrderMillis > nowMillis - takeoverMillis

    private companion object {
        // The data sheets allow two engines of eight, and 28 of 98, to load without slowing each other down. An engine
        // first finishes its running requests, so with orders at three of eight engines about two are loading.
        const val MIN_CONCURRENT_LOADS = 2
        const val CONCURRENT_LOAD_SHARE = 0.375

        // An engine that does not respond has crashed or is unreachable.
        const val RETRY_MILLIS = 700L
    }
}
