package org.parsleymoor.gateway.control

import io.micrometer.core.instrument.Counter
import org.parsleymoor.clients.DesiredState
import org.parsleymoor.clients.OrderLeaseState
import org.parsleymoor.clients.OrderStatus
import org.parsleymoor.gateway.operations.GatewayMetrics

/** Metrics of the lease on orders, of orders and of rollouts. */
internal class OrderMeters(private val metrics: GatewayMetrics, private val rollouts: RolloutProgress) {
    /** Registers the gauges, which read [status] when they are scraped. */
    fun register(status: () -> OrderStatus) {
        metrics.gauge("parsleymoor.orders.lease.held") { if (status().lease == OrderLeaseState.NOT_HELD) 0 else 1 }
        metrics.gauge("parsleymoor.orders.fencing.token") { status().fencingToken }
        metrics.gauge("parsleymoor.orders.unfinished.engines") { status().unfinished.size }
        metrics.gauge("parsleymoor.rollout.engines", "state", "loaded") {
            rollouts.current().sumOf { it.loaded.size }
        }
        metrics.gauge("parsleymoor.rollout.engines", "state", "loading") {
            rollouts.current().sumOf { it.loading.size }
        }
        metrics.gauge("parsleymoor.rollout.engines", "state", "waiting") {
            rollouts.current().sumOf { it.engines - it.loaded.size - it.loading.size }
        }
    }

    /** Counts an order with [outcome]. */
    fun recordOrder(wanted: DesiredState, outcome: String) {
        Counter.builder("parsleymoor.orders").tag("kind", kindOf(wanted)).tag("outcome", outcome)
            .register(metrics.registry).increment()
    }

    private fun kindOf(wanted: DesiredState): String = when (wanted) {
        is DesiredState.Loaded -> "loaded"
        is DesiredState.Unloaded -> "unloaded"
        is DesiredState.AdapterLoaded -> "adapter"
        is DesiredState.Role -> "role"
    }
}
