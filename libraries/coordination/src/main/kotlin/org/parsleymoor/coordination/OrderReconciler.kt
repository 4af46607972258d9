package org.parsleymoor.coordination

import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.Incarnation

/**
 * Brings engines to their wanted contents, with at most [OrderSettings.concurrentLoads] loading at a time. Only the
 * lease holder acts. It waits until orders of the previous holder can no longer arrive, then reads the state of every
 * engine before its first order, so that loads that its predecessor started are counted. An engine that checks fencing
 * tokens first gets an order that confirms its state, and from then on rejects late orders of earlier holders. After
 * each order the state is read back, and corrected if necessary. The next order to an engine waits until the previous
 * one can no longer arrive, even if the lease lapsed briefly without another holder in between.
 */
public class OrderReconciler<C : Any>(
    private val self: Incarnation,
    private val settings: OrderSettings = OrderSettings(),
) {
    private var targets: Map<EndpointId, OrderTarget<C>> = emptyMap()
    private val engines = HashMap<EndpointId, EngineProgress<C>>()
    private var concurrentLoads = settings.concurrentLoads
    private var leaseStartMillis: Long? = null
    private var readCount = 0L
    private var orderCount = 0L

    /** Applies [event] at [nowMillis], where [lease] is the lease on orders, or null if this process may not use it. */
    public fun handle(nowMillis: Long, event: OrderEvent<C>, lease: HeldLease?): List<OrderAction<C>> {
        when (event) {
            is OrderEvent.Targets -> setTargets(event)
            is OrderEvent.StateRead -> engines[event.endpoint]?.acceptRead(event.readId, event.state)
            is OrderEvent.Answered -> engines[event.endpoint]?.acceptAnswer(nowMillis, event.orderId, event.outcome)
            is OrderEvent.Tick -> Unit
        }
        return if (lease == null) emptyList() else advance(nowMillis, lease)
    }

    /** Returns the engines that are not known to hold their wanted content. */
    public fun unfinished(): List<EndpointId> = targets.values
        .filter { target -> engines[target.endpoint]?.reached(target.wanted) != true }
        .map { it.endpoint }

    private fun setTargets(event: OrderEvent.Targets<C>) {
        targets = event.targets.associateBy { it.endpoint }
        concurrentLoads = minOf(event.concurrentLoads ?: settings.concurrentLoads, settings.concurrentLoads)
    }

    private fun advance(nowMillis: Long, lease: HeldLease): List<OrderAction<C>> {
        if (leaseStartMillis != lease.unfencedFromMillis) engines.clear()
        if (nowMillis < lease.unfencedFromMillis) return emptyList()
        leaseStartMillis = lease.unfencedFromMillis
        targets.values.forEach { target ->
            engines.getOrPut(target.endpoint) { EngineProgress(settings, lease.unfencedFromMillis, target.fencing) }
        }
        return reads(nowMillis) + confirmations(nowMillis, lease) + orders(nowMillis, lease)
    }

    private fun reads(nowMillis: Long): List<OrderAction<C>> = targets.values.mapNotNull { target ->
        val engine = engines[target.endpoint]?.takeIf { it.readDue(nowMillis, target.wanted) }
        engine?.reads?.start(nowMillis, readCount)
        engine?.let { OrderAction.ReadState(target.endpoint, readCount++) }
    }

    private fun confirmations(nowMillis: Long, lease: HeldLease): List<OrderAction<C>> {
        if (targets.values.all { engines[it.endpoint]?.reached(it.wanted) == true }) return emptyList()
        val due = targets.keys.filter { engines[it]?.confirmationDue(nowMillis) == true }
        return due.take(settings.concurrentConfirmations).mapNotNull { endpoint ->
            engines[endpoint]?.state?.let { send(endpoint, it.loading ?: it.content, lease) }
        }
    }

    private fun orders(nowMillis: Long, lease: HeldLease): List<OrderAction<C>> {
        val loading = engines.count { (endpoint, engine) -> engine.mayLoad(nowMillis, targets[endpoint]?.wanted) }
        return targets.values
            .filter { engines[it.endpoint]?.orderDue(nowMillis, it.wanted) == true }
            .take(maxOf(concurrentLoads - loading, 0))
            .map { send(it.endpoint, it.wanted, lease) }
    }

    private fun send(endpoint: EndpointId, wanted: C, lease: HeldLease): OrderAction<C> {
        val orderId = "$self/${orderCount++}"
        engines[endpoint]?.startOrder(orderId)
        return OrderAction.SendOrder(endpoint, orderId, lease.fencingToken, wanted)
    }
}
