package org.parsleymoor.explore

import org.parsleymoor.coordination.EngineState
import org.parsleymoor.coordination.Fencing
import org.parsleymoor.coordination.HeldLease
import org.parsleymoor.coordination.OrderAction
import org.parsleymoor.coordination.OrderEvent
import org.parsleymoor.coordination.OrderOutcome
import org.parsleymoor.coordination.OrderReconciler
import org.parsleymoor.core.WeightVersion

/** The order plan of one instance, joined to the simulated engines. */
internal class OrderClient(
    private val world: LeaseWorld,
    private val host: Host,
    private val held: () -> HeldLease?,
) {
    private val plan = OrderReconciler<WeightVersion>(host.incarnation)

    fun handle(event: OrderEvent<WeightVersion>) {
        plan.handle(host.clockMillis, event, held()).forEach { perform(it) }
    }

    private fun perform(action: OrderAction<WeightVersion>) = when (action) {
        is OrderAction.ReadState -> readState(action)
        is OrderAction.SendOrder -> sendOrder(action)
    }

    private fun readState(action: OrderAction.ReadState) {
        val engine = world.engines.first { it.name == action.endpoint }
        if (world.isFaulty(SeededFault.STATE_NOT_READ_BACK)) {
            val idle = engine.state.copy(loading = null)
            return host.after(1) { handle(OrderEvent.StateRead(action.endpoint, action.readId, idle)) }
        }
        val receive = host.callback<EngineState<WeightVersion>> {
            handle(
                OrderEvent.StateRead(action.endpoint, action.readId, it)
            )
        }
        world.carry {
            val state = engine.state
            world.carry { receive(state) }
        }
    }

    /**
     * An engine that checks tokens gets some orders only when a pause of the sender, between its last look at the lease
     * and the write, is over.
     */
    private fun sendOrder(action: OrderAction.SendOrder<WeightVersion>) {
        val engine = world.engines.first { it.name == action.endpoint }
        val paused = engine.fencing == Fencing.CHECKED && world.chance.happens(world.hazards.pause)
        if (paused) host.pause(world.chance.between(1, LONGEST_PAUSE_MILLIS))
        host.bound { if (paused || stillHeld(action)) write(engine, action) else refuse(action) }()
    }

    private fun stillHeld(action: OrderAction.SendOrder<WeightVersion>): Boolean =
        held()?.fencingToken == action.fencingToken

    private fun refuse(action: OrderAction.SendOrder<WeightVersion>) {
        host.after(1) { handle(OrderEvent.Answered(action.endpoint, action.orderId, OrderOutcome.REFUSED)) }
    }

    private fun write(engine: SimulatedEngine, action: OrderAction.SendOrder<WeightVersion>) {
        var answered = false
        fun answer(outcome: OrderOutcome) {
            if (!answered) handle(OrderEvent.Answered(action.endpoint, action.orderId, outcome))
            answered = true
        }
        val receive = host.callback<OrderOutcome> { answer(it) }
        host.after(DELIVERY_DEADLINE_MILLIS) { answer(OrderOutcome.LOST) }
        world.carry(DELIVERY_DEADLINE_MILLIS) {
            val outcome = engine.order(action.fencingToken, action.wanted)
            world.carry(DELIVERY_DEADLINE_MILLIS) { receive(outcome) }
        }
    }

    private companion object {
        const val DELIVERY_DEADLINE_MILLIS = 1_800L
        const val LONGEST_PAUSE_MILLIS = 20_000L
    }
}
