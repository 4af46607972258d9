package org.parsleymoor.standins

import io.vertx.core.Vertx
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.builtins.ListSerializer
import org.parsleymoor.clients.CacheEvents
import org.parsleymoor.clients.CacheSnapshot
import org.parsleymoor.clients.EngineLoad
import org.parsleymoor.clients.EngineOrder
import org.parsleymoor.core.Clock

/**
 * A model engine that answers with [ModelText]: continuous batching with a queue and priorities, a bounded prefix
 * cache, cold start, orders and faults on demand. `docs/engine-protocol.md` lists its calls.
 */
public class EngineStandIn(
    private val vertx: Vertx,
    private val settings: EngineSettings,
    clock: Clock = Clock.System,
) {
    private val server = StandInServer(vertx, settings.host, settings.port, ::route)
    private val state = EngineState(settings, clock)

    /** Binds the port and suspends until it accepts connections; returns the bound port. */
    public suspend fun start(): Int = server.start()

    private fun route(router: Router, scope: CoroutineScope) {
        val runs = EngineRuns(state, server, scope)
        val orders = EngineOrders(vertx, state, scope)
        val transfers = BlockTransfers(vertx, state)
        scope.launch { report() }
        router.route("/v1/*").handler { if (state.isDown) it.drop() else it.next() }
        router.post("/v1/generate").handler { runs.arrive(it) }
        router.delete("/v1/generate/:attempt").handler {
            runs.cancel(it.pathParam("attempt"))
            it.response().setStatusCode(HttpStatus.NO_CONTENT).end()
        }
        router.get("/v1/load").handler { it.answer(EngineLoad.serializer(), shownReport()) }
        router.get("/v1/cache/events").handler { events(it) }
        router.get("/v1/cache/snapshot").handler { it.answer(CacheSnapshot.serializer(), snapshot()) }
        router.post("/v1/cache/export").handler { scope.launch { transfers.export(it) } }
        router.post("/v1/cache/import").handler { scope.launch { transfers.import(it) } }
        router.post("/v1/orders").handler { orders.arrive(it) }
        router.get("/v1/orders").handler { it.answer(ListSerializer(EngineOrder.serializer()), state.orders.orders) }
        router.get("/journal/orders").handler { it.response().end(orders.journalJson()) }
        router.get("/journal").handler { it.response().end(runs.journalJson()) }
        router.post("/faults").handler { setFaults(it, runs) }
    }

    private suspend fun report() {
        while (true) {
            state.takeReport()
            delay(settings.loadReportMillis)
        }
    }

    private fun shownReport(): EngineLoad = state.reports.shown(state.clock.nowMillis()) ?: state.report()

    private fun events(context: RoutingContext) {
        val after = context.request().getParam("after")?.toLongOrNull() ?: 0
        val events = state.feed.after(after, state.startCount, state.clock.nowMillis())
        context.answer(CacheEvents.serializer(), events)
    }

    private fun snapshot() = CacheSnapshot(state.startCount, state.feed.sequence, state.cache.content())

    private fun setFaults(context: RoutingContext, runs: EngineRuns) {
        val faults = context.readBody(EngineFaults.serializer()) ?: return
        state.faults = faults
        state.feed.dropNext(faults.dropCacheEvents)
        context.answer(EngineFaults.serializer(), faults)
        if (faults.silenceOpenConnections) server.silenceOpenConnections()
        if (faults.turnCold) state.restart(0)
        if (faults.fallOver) runs.fallOver()
    }
}
