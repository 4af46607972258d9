package org.parsleymoor.coordination

import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.Incarnation

/**
 * Moves engines to their desired contents, at most [OrderSettings.concurrentLoads] loading at a time. Only the
 * lease holder acts: it waits until orders of the previous holder are delivered, then reads the state of every engine
 * before its first order, so that loads which its predecessor began are counted. An engine that checks fencing tokens
 * first gets an order that confirms its state, after which it refuses a late order of any earlier holder. Every engine
 * is read back after an order and corrected. A further order to an engine waits until the one before cannot arrive any
 * more, also when the lease lapsed for a moment and no other holder came between.
 */
public class OrderReconciler<C : Any>(
    private val self: Incarnation,
    private val settings: OrderSettings = OrderSettings(),
) {
    private var targets: Map<EndpointId, OrderTarget<C>> = emptyMap()
    private val engines = HashMap<EndpointId, EngineProgress<C>>()
    private var concurrentLoads = settings.concurrentLoads
    private var takenMillis: Long? = null
    private var readCount = 0L
    private var orderCount = 0L

    /** Applies [event] at [nowMillis], where [lease] is the lease on orders if this process may use it now. */
    public fun handle(nowMillis: Long, event: OrderEvent<C>, lease: HeldLease?): List<OrderAction<C>> {
        when (event) {
            is OrderEvent.Targets -> retarget(event)
            is OrderEvent.StateRead -> engines[event.endpoint]?.acceptRead(event.readId, event.state)
            is OrderEvent.Answered -> engines[event.endpoint]?.acceptAnswer(nowMillis, event.orderId, event.outcome)
            is OrderEvent.Tick -> Unit
        }
        return if (lease == null) emptyList() else progress(nowMillis, lease)
    }

    /** Returns the engines whose content is not known to be the desired one. */
    public fun unfinished(): List<EndpointId> = targets.values
        .filter { target -> engines[target.endpoint]?.reached(target.wanted) != true }
        .map { it.endpoint }

    private fun retarget(event: OrderEvent.Targets<C>) {
        targets = event.targets.associateBy { it.endpoint }
        concurrentLoads = minOf(event.concurrentLoads ?: settings.concurrentLoads, settings.concurrentLoads)
    }

    private fun progress(nowMillis: Long, lease: HeldLease): List<OrderAction<C>> {
        if (takenMillis != lease.unfencedFromMillis) engines.clear()
        if (nowMillis < lease.unfencedFromMillis) return emptyList()
        takenMillis = lease.unfencedFromMillis
        targets.values.forEach { target ->
            engines.getOrPut(target.endpoint) { EngineProgress(settings, lease.unfencedFromMillis, target.fencing) }
        }
        return reads(nowMillis) + confirmations(nowMillis, lease) + orders(nowMillis, lease)
    }

    private fun reads(nowMillis: Long): List<OrderAction<C>> = targets.values.mapNotNull { target ->
        val engine = engines[target.endpoint]?.takeIf { it.readDue(nowMillis, target.wanted) }
        engine?.read?.start(nowMillis, readCount)
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
