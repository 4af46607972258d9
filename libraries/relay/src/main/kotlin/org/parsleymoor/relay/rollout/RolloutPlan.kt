package org.parsleymoor.relay.rollout

import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.ModelId
import org.parsleymoor.relay.fleet.EndpointState
import org.parsleymoor.relay.fleet.EndpointTable
import org.parsleymoor.relay.placement.TargetWeights
import kotlin.math.roundToInt

/** An engine that has to load [weights]. */
public data class PendingWeightLoad(public val endpoint: EndpointState, public val weights: TargetWeights)

/**
 * Chooses the engines that load new weights next: the least loaded first, and only a part of them at a time, because
 * loads slow each other down and the others have to serve meanwhile. An instance counts as active for [takeoverMillis]
 * after its last order. Not safe for use from several threads.
 */
public class RolloutPlan(private val takeoverMillis: Long) {
    private val loading = HashSet<EndpointId>()
    private val notBeforeMillis = HashMap<EndpointId, Long>()
    private var activeMillis = Long.MIN_VALUE

    /** Returns the engines whose weights are older than named. */
    public fun outdatedEngines(table: EndpointTable, named: Map<ModelId, TargetWeights>): List<PendingWeightLoad> =
        table.all.filter { !it.entry.draining && it.missingSinceMillis == null }.mapNotNull { state ->
            named.values.firstOrNull { (state.weights(it.model) ?: Long.MAX_VALUE) < it.version }
                ?.let { PendingWeightLoad(state, it) }
        }

    /** Returns the engines to give orders to at [nowMillis]. */
    public fun enginesToLoad(
        table: EndpointTable,
        named: Map<ModelId, TargetWeights>,
        nowMillis: Long
    ): List<PendingWeightLoad> {
        val engines = table.all.count { state -> named.keys.any { state.weights(it) != null } }
        val free = maxOf(MINIMAL_AT_ONCE, (engines * SHARE_AT_ONCE).roundToInt()) - loading.size
        return outdatedEngines(table, named)
            .filter { it.endpoint.entry.id !in loading && nowMillis >= (notBeforeMillis[it.endpoint.entry.id] ?: 0) }
            .sortedBy { it.endpoint.engineLoad?.running ?: it.endpoint.inFlight }
            .take(maxOf(free, 0))
    }

    /** Notes that orders to [endpoint] begin. */
    public fun loadStarted(endpoint: EndpointId, nowMillis: Long) {
        loading += endpoint
        orderSent(nowMillis)
    }

    /** Notes that an order was given. */
    public fun orderSent(nowMillis: Long) {
        activeMillis = nowMillis
    }

    /** Notes that orders to [endpoint] ended; one that did not load is tried again later. */
    public fun loadEnded(endpoint: EndpointId, loaded: Boolean, nowMillis: Long) {
        loading -= endpoint
        if (loaded) notBeforeMillis -= endpoint else notBeforeMillis[endpoint] = nowMillis + RETRY_MILLIS
    }

    /** Whether an order was given so recently that no other instance should take over. */
    public fun isRecentlyActive(nowMillis: Long): Boolean = activeMillis > nowMillis - takeoverMillis

    private companion object {
        // The data sheets state two engines of eight, and 28 of 98, as those that load without slowing each other. Most
        // of the time an engine finishes its runs, so that three of eight hold orders for two of them to load.
        const val MINIMAL_AT_ONCE = 2
        const val SHARE_AT_ONCE = 0.375

        // An engine that does not answer has crashed or is out of reach.
        const val RETRY_MILLIS = 700L
    }
}
