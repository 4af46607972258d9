package org.parsleymoor.explore

import org.parsleymoor.coordination.HeldLease
import org.parsleymoor.coordination.LeaseEvent
import org.parsleymoor.coordination.LeaseManager
import org.parsleymoor.coordination.LeaseRecord
import org.parsleymoor.coordination.LeaseSettings
import org.parsleymoor.coordination.OrderEvent

/** A gateway that competes for the lease on orders. */
internal class LeaseProcess(private val world: LeaseWorld, val host: Host) {
    private val client = LeaseClient(world, world.platform, host)
    private val settings = leaseSettings()
    private lateinit var holder: LeaseManager
    private lateinit var orders: OrderClient
    private var respondedMillis = 0L

    init {
        host.onStart = ::start
    }

    fun held(): HeldLease? {
        val faulty = world.isFaulty(SeededFault.LEASE_COUNTED_FROM_RESPONSE)
        return if (faulty) heldSinceResponse() else holder.held(host.clockMillis)
    }

    /** Reports a change of the lease object, as a watch does. */
    fun watch(changed: SimulatedObject<LeaseRecord>) {
        world.carry(deliver = host.bound { lease(LeaseEvent.Seen(changed.asLease())) })
    }

    fun retarget() {
        host.bound { orders.handle(OrderEvent.Targets(world.targets())) }()
    }

    private fun start() {
        respondedMillis = 0
        holder = LeaseManager("orders", host.incarnation, settings)
        orders = OrderClient(world, host, ::held)
        host.after(1) { lease(LeaseEvent.Wanted(true)) }
        host.after(1) { orders.handle(OrderEvent.Targets(world.targets())) }
        host.every(RELEASE_MILLIS) {
            if (world.chance.happens(world.hazards.restart)) releaseAndReturn()
        }
        host.every(TICK_MILLIS) {
            lease(LeaseEvent.Tick)
            orders.handle(OrderEvent.Tick)
        }
    }

    /** Gives the lease up as in a planned stop, and comes back. */
    private fun releaseAndReturn() {
        lease(LeaseEvent.Wanted(false))
        host.after(RELEASE_MILLIS) { lease(LeaseEvent.Wanted(true)) }
    }

    private fun leaseSettings(): LeaseSettings {
        val dropped = world.isFaulty(SeededFault.DELIVERY_WAIT_DROPPED)
        return if (dropped) LeaseSettings(deliveryTimeoutMillis = 0) else LeaseSettings()
    }

    /** The seeded fault: the lease counts from the response that confirmed it. */
    private fun heldSinceResponse(): HeldLease? {
        val untilMillis = respondedMillis + settings.usableMillis
        val lease = holder.held(Long.MIN_VALUE)?.copy(untilMillis = untilMillis)
        return lease?.takeIf { host.clockMillis < untilMillis }
    }

    private fun lease(event: LeaseEvent) {
        if (event is LeaseEvent.Written) respondedMillis = host.clockMillis
        holder.handle(host.clockMillis, event).forEach { action -> client.perform(action, ::lease) }
    }

    private companion object {
        const val TICK_MILLIS = 250L
        const val RELEASE_MILLIS = 1_000L
    }
}
