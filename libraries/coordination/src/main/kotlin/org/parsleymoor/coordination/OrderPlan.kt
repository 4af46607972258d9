package org.parsleymoor.coordination

import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.WeightVersion

/**
 * Moves engines to their desired weight versions, at most [OrderSettings.concurrentLoads] loading at a time. Only the
 * lease holder acts: it waits until orders of the previous holder are delivered, then reads the state of every engine
 * before its first order, so that loads which its predecessor began are counted. An engine that checks fencing tokens
 * first gets an order that confirms its state, after which it refuses a late order of any earlier holder. Every engine
 * is read back after an order and corrected. A further order to an engine waits until the one before cannot arrive any
 * more, also when the lease lapsed for a moment and no other holder came between.
 */
public class OrderPlan(
    private val self: Incarnation,
    private val settings: OrderSettings = OrderSettings(),
) {
    private var targets: Map<EndpointId, OrderTarget> = emptyMap()
    private val engines = HashMap<EndpointId, EngineProgress>()
    private var takenMillis: Long? = null
    private var readCount = 0L
    private var orderCount = 0L

    /** Applies [event] at [nowMillis], where [lease] is the lease on orders if this process may use it now. */
    public fun handle(nowMillis: Long, event: OrderEvent, lease: HeldLease?): List<OrderAction> {
        when (event) {
            is OrderEvent.Targets -> retarget(event)
            is OrderEvent.StateRead -> engines[event.endpoint]?.acceptRead(event.readId, event.state)
            is OrderEvent.Answered -> engines[event.endpoint]?.acceptAnswer(nowMillis, event.orderId, event.outcome)
            is OrderEvent.Tick -> Unit
        }
        return if (lease == null) emptyList() else progress(nowMillis, lease)
    }

    /** Returns the engines whose version is not known to be the desired one. */
    public fun unfinished(): List<EndpointId> = targets.values
        .filter { target -> engines[target.endpoint]?.reached(target.version) != true }
        .map { it.endpoint }

    private fun retarget(event: OrderEvent.Targets) {
        targets = event.targets.associateBy { it.endpoint }
    }

    private fun progress(nowMillis: Long, lease: HeldLease): List<OrderAction> {
        if (takenMillis != lease.unfencedFromMillis) engines.clear()
        if (nowMillis < lease.unfencedFromMillis) return emptyList()
        takenMillis = lease.unfencedFromMillis
        targets.values.forEach { target ->
            engines.getOrPut(target.endpoint) { EngineProgress(settings, lease.unfencedFromMillis, target.fencing) }
        }
        return reads(nowMillis) + confirmations(nowMillis, lease) + orders(nowMillis, lease)
    }

    private fun reads(nowMillis: Long): List<OrderAction> = targets.values.mapNotNull { target ->
        val engine = engines[target.endpoint]?.takeIf { it.readDue(nowMillis, target.version) }
        engine?.read?.start(nowMillis, readCount)
        engine?.let { OrderAction.ReadState(target.endpoint, readCount++) }
    }

    private fun confirmations(nowMillis: Long, lease: HeldLease): List<OrderAction> {
        if (targets.values.all { engines[it.endpoint]?.reached(it.version) == true }) return emptyList()
        val due = targets.keys.filter { engines[it]?.confirmationDue(nowMillis) == true }
        return due.take(settings.concurrentConfirmations).mapNotNull { endpoint ->
            engines[endpoint]?.state?.let { send(endpoint, it.loading ?: it.version, lease) }
        }
    }

    private fun orders(nowMillis: Long, lease: HeldLease): List<OrderAction> {
        val loading = engines.count { (endpoint, engine) -> engine.mayLoad(nowMillis, targets[endpoint]?.version) }
        return targets.values
            .filter { engines[it.endpoint]?.orderDue(nowMillis, it.version) == true }
            .take(maxOf(settings.concurrentLoads - loading, 0))
            .map { send(it.endpoint, it.version, lease) }
    }

    private fun send(endpoint: EndpointId, version: WeightVersion, lease: HeldLease): OrderAction {
        val orderId = "$self/${orderCount++}"
        engines[endpoint]?.startOrder(orderId)
        return OrderAction.SendOrder(endpoint, orderId, lease.fencingToken, version)
    }
}
