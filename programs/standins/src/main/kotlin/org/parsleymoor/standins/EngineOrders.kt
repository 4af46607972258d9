package org.parsleymoor.standins

import io.vertx.core.Vertx
import io.vertx.ext.web.RoutingContext
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.parsleymoor.clients.EngineLoad
import org.parsleymoor.clients.EngineOrder
import org.parsleymoor.clients.EngineRefusal
import org.parsleymoor.clients.EngineRefusalReason
import org.parsleymoor.clients.LoadedVersion

/** Takes the orders of an engine and keeps a journal of them. Only the engine's event loop uses it. */
internal class EngineOrders(
    private val vertx: Vertx,
    private val state: EngineState,
    private val scope: CoroutineScope
) {
    private val journal = Journal(OrderRun.serializer(), "") { it.number }

    /** Follows an order or refuses it as stale; a fault may lose the answer. */
    fun arrive(context: RoutingContext) {
        val order = context.readBody(EngineOrder.serializer()) ?: return
        val run = OrderRun(journal.next, order, state.clock.nowMillis(), state.orders.isStale(order))
        journal.put(run)
        if (run.stale) refuse(context, order) else follow(context, run)
    }

    fun journalJson(): String = journal.json()

    private fun refuse(context: RoutingContext, order: EngineOrder) {
        val detail = "expected a fencing token of at least ${state.orders.highest}, found ${order.fencing}"
        val refusal = EngineRefusal(EngineRefusalReason.STALE_FENCING, detail)
        context.answer(EngineRefusal.serializer(), refusal, HttpStatus.CONFLICT)
    }

    private fun follow(context: RoutingContext, run: OrderRun) {
        state.orders.accept(run.order)?.let { version -> load(version, run) }
        if (state.faults.loseOrderAnswers > 0) {
            state.faults = state.faults.copy(loseOrderAnswers = state.faults.loseOrderAnswers - 1)
            context.drop()
        } else {
            context.answer(EngineLoad.serializer(), state.report())
        }
    }

    private fun load(version: LoadedVersion, run: OrderRun) {
        journal.put(run.copy(loads = true))
        scope.launch {
            WeightLoad(vertx, state.settings).run(version)
            state.orders.loaded(version)
            journal.put(run.copy(loads = true, loadedAtMillis = state.clock.nowMillis()))
        }
    }
}
