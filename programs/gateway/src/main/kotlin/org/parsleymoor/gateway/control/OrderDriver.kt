package org.parsleymoor.gateway.control

import com.github.michaelbull.result.get
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.parsleymoor.clients.EngineLoad
import org.parsleymoor.clients.EngineOrder
import org.parsleymoor.clients.OrderLeaseState
import org.parsleymoor.clients.OrderStatus
import org.parsleymoor.configuration.EndpointDeclaration
import org.parsleymoor.coordination.OrderAction
import org.parsleymoor.coordination.OrderEvent
import org.parsleymoor.coordination.OrderOutcome
import org.parsleymoor.coordination.OrderReconciler
import org.parsleymoor.core.Clock
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.Incarnation
import org.parsleymoor.gateway.ConfigurationHolder
import java.util.concurrent.ConcurrentHashMap

/**
 * Executes the actions of [OrderReconciler] while this gateway holds the lease on orders: reads the engines' load
 * reports, compares them with the configuration and sends orders with the fencing token. The reconciler's lock is not
 * held during a call. [mayContend] says whether this gateway is one of the first candidates for the lease.
 */
internal class OrderDriver(
    self: Incarnation,
    private val lease: OrderLease,
    private val clients: OrderClients,
    private val configuration: ConfigurationHolder,
    private val meters: OrderMeters,
    private val mayContend: () -> Boolean,
) {
    private val reconciler = OrderReconciler<EngineContent>(self)
    private val retired = RetiredVersions()
    private val reports = ConcurrentHashMap<EndpointId, EngineLoad>()
    private lateinit var clock: Clock
    private lateinit var scope: CoroutineScope

    @Volatile
    private var wanted: WantedContents? = null
    private var wantedRevision = 0L

    /** Acquires the lease and sends orders until [scope] ends. */
    fun start(clock: Clock, scope: CoroutineScope) {
        this.clock = clock
        this.scope = scope
        meters.register { status() }
        scope.launch {
            while (true) {
                tick()
                delay(TICK_MILLIS)
            }
        }
    }

    /** Releases the lease and stops sending orders. */
    suspend fun stop() {
        lease.release()
        clients.close()
    }

    /** The state of the lease and the engines that do not match the configuration yet. */
    fun status(): OrderStatus {
        val held = lease.held() ?: return OrderStatus()
        val nowMillis = clock.nowMillis()
        return OrderStatus(
            lease = if (nowMillis < held.unfencedFromMillis) OrderLeaseState.WAITING else OrderLeaseState.HELD,
            fencingToken = held.fencingToken,
            remainingMillis = held.untilMillis - nowMillis,
            unfinished = synchronized(reconciler) { reconciler.unfinished() },
        )
    }

    private fun tick() {
        lease.tick(mayContend())
        val view = configuration.current?.configuration ?: return
        synchronized(retired) { retired.observe(view, clock.nowMillis()) }
        if (view.revision == wantedRevision) return handle(OrderEvent.Tick)
        val contents = WantedContents(view) { synchronized(retired) { retired.isRetained(it, clock.nowMillis()) } }
        wantedRevision = view.revision
        wanted = contents
        clients.retainOnly(view.endpoints.map { it.address }.toSet())
        handle(OrderEvent.Targets(contents.targets(), contents.concurrentLoads()))
    }

    private fun handle(event: OrderEvent<EngineContent>) {
        val actions = synchronized(reconciler) { reconciler.handle(clock.nowMillis(), event, lease.held()) }
        actions.forEach { action ->
            scope.launch {
                when (action) {
                    is OrderAction.ReadState -> readState(action)
                    is OrderAction.SendOrder -> handle(
                        OrderEvent.Answered(action.endpoint, action.orderId, send(action))
                    )
                }
            }
        }
    }

    private suspend fun readState(action: OrderAction.ReadState) {
        val contents = wanted
        val load = contents?.engine(action.endpoint)?.let { clients.load(it.address).get() }
        load?.let { reports[action.endpoint] = it }
        val state = load?.let { contents.state(action.endpoint, it) }
        handle(OrderEvent.StateRead(action.endpoint, action.readId, state))
    }

    private suspend fun send(action: OrderAction.SendOrder<EngineContent>): OrderOutcome {
        val contents = wanted
        val engine = contents?.engine(action.endpoint)
        val report = reports[action.endpoint]
        return if (engine == null || report == null) {
            OrderOutcome.REFUSED
        } else {
            val step = contents.nextStep(action.endpoint, report, action.wanted)
            send(engine, EngineOrder(action.orderId, action.fencingToken, step))
        }
    }

    private suspend fun send(engine: EndpointDeclaration, order: EngineOrder): OrderOutcome {
        // No suspension point may come between this check of the lease and the call.
        val mayUse = lease.held()?.fencingToken == order.fencing
        val outcome = if (mayUse) clients.order(engine.address, order) else OrderOutcome.REFUSED
        meters.recordOrder(order.wanted, if (mayUse) outcome.name.lowercase() else "withheld")
        logger.info { "order ${order.order} to ${engine.name}: ${outcome.name.lowercase()}" }
        return outcome
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        const val TICK_MILLIS = 200L
    }
}
