package org.parsleymoor.gateway.control

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import org.parsleymoor.clients.OrderLeaseState
import org.parsleymoor.clients.OrderStatus
import org.parsleymoor.clients.WantedState

/** The meters of the lease on orders, of the orders and of rollouts. */
internal class OrderMeters(private val registry: MeterRegistry, private val rollouts: RolloutProgress) {
    /** Registers the gauges, which read [status] when they are scraped. */
    fun register(status: () -> OrderStatus) {
        Gauge.builder("parsleymoor.orders.lease.held") { if (status().lease == OrderLeaseState.NOT_HELD) 0 else 1 }
            .register(registry)
        Gauge.builder("parsleymoor.orders.fencing.token") { status().fencingToken }.register(registry)
        Gauge.builder("parsleymoor.orders.unfinished.engines") { status().unfinished.size }.register(registry)
        Gauge.builder(
            "parsleymoor.rollout.engines"
        ) { rollouts.current().sumOf { it.loaded.size } }.tag("state", "loaded")
            .register(registry)
        Gauge.builder(
            "parsleymoor.rollout.engines"
        ) { rollouts.current().sumOf { it.loading.size } }.tag("state", "loading")
            .register(registry)
        Gauge.builder("parsleymoor.rollout.engines") {
            rollouts.current().sumOf { it.engines - it.loaded.size - it.loading.size }
        }.tag("state", "waiting").register(registry)
    }

    /** Counts an order that had [outcome]. */
    fun sent(wanted: WantedState, outcome: String) {
        Counter.builder("parsleymoor.orders").tag("kind", kindOf(wanted)).tag("outcome", outcome).register(registry)
            .increment()
    }

    private fun kindOf(wanted: WantedState): String = when (wanted) {
        is WantedState.Loaded -> "loaded"
        is WantedState.Unloaded -> "unloaded"
        is WantedState.AdapterLoaded -> "adapter"
        is WantedState.Role -> "role"
    }
}
