package org.parsleymoor.entry

import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import io.vertx.core.net.NetClientOptions
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.put
import org.parsleymoor.core.Clock
import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.PauseDetector
import org.parsleymoor.core.stableHash
import org.parsleymoor.entry.callers.CallerContext
import org.parsleymoor.entry.callers.CallerServer
import org.parsleymoor.entry.control.CacheStoreLoop
import org.parsleymoor.entry.control.ConfigurationListener
import org.parsleymoor.entry.control.ControlContext
import org.parsleymoor.entry.control.ControlRuntime
import org.parsleymoor.entry.control.ControlTicks
import org.parsleymoor.entry.control.EndpointListener
import org.parsleymoor.entry.control.EngineLoadLoop
import org.parsleymoor.entry.control.EvacuationListener
import org.parsleymoor.entry.control.Membership
import org.parsleymoor.entry.control.MembershipLoop
import org.parsleymoor.entry.control.ObjectListener
import org.parsleymoor.entry.control.ObjectStore
import org.parsleymoor.entry.control.ObjectWatch
import org.parsleymoor.entry.control.OrderLease
import org.parsleymoor.entry.control.PeerContext
import org.parsleymoor.entry.control.Peers
import org.parsleymoor.entry.control.RolloutLoop
import org.parsleymoor.entry.control.WatchContext
import org.parsleymoor.entry.control.WatchPolicy
import org.parsleymoor.entry.control.WeightsListener
import org.parsleymoor.entry.log.DecisionLog
import org.parsleymoor.entry.log.LibraryLog
import org.parsleymoor.entry.net.ConnectionPool
import org.parsleymoor.entry.net.ControlClient
import org.parsleymoor.entry.protocol.ObjectKind
import org.parsleymoor.entry.protocol.ServingProtocol
import org.parsleymoor.entry.serving.Attempts
import org.parsleymoor.entry.serving.Beliefs
import org.parsleymoor.entry.serving.Delivery
import org.parsleymoor.entry.serving.LoopLag
import org.parsleymoor.entry.serving.Placer
import org.parsleymoor.entry.serving.Refusals
import org.parsleymoor.entry.serving.RelayHandler
import org.parsleymoor.entry.serving.ServingContext
import org.parsleymoor.entry.serving.StopState
import org.parsleymoor.relay.exchange.Member
import org.parsleymoor.relay.fleet.SocketAddress
import org.parsleymoor.relay.http.HttpStatus
import org.parsleymoor.relay.limits.SharedRetryBudget
import org.parsleymoor.relay.routing.CallerLimits

/**
 * One entry daemon: relays callers' requests to endpoints and takes its turn in the control of the deployment. All
 * state is confined to one event loop. [protocol] translates to and from the deployment's names.
 */
public class EntryDaemon(
    private val settings: EntrySettings,
    private val protocol: ServingProtocol,
    private val clock: Clock = Clock.System,
) {
    private val log = DecisionLog(clock, settings.instance.value).also { LibraryLog(it).install() }
    private val vertx = Vertx.vertx(
        VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1).setInternalBlockingPoolSize(1)
    )
    private val metrics = EntryMetrics()
    private val dispatcher = vertx.orCreateContext.dispatcher()
    private val scope = CoroutineScope(
        SupervisorJob() + dispatcher + CoroutineExceptionHandler { _, cause ->
            log.write("coroutine.failed", always = true) { put("cause", cause.stackTraceToString()) }
        },
    )
    private val beliefs = Beliefs(settings.instance)
    private val client = vertx.createNetClient(
        NetClientOptions().setTcpNoDelay(true).setConnectTimeout(CONNECT_MILLIS),
    )
    private val pool = ConnectionPool(client, clock)
    private val control = ControlClient(ConnectionPool(client, clock))
    private val store = ObjectStore(protocol.objects) { call, timeoutMillis ->
        control.call(settings.objectStore, call, timeoutMillis)
    }
    private val membership = Membership(
        Member(settings.instance, settings.listen.peers.toString(), settings.zone, settings.processors),
    )
    private val ticks = ControlTicks(clock, settings.instance.value.stableHash().mod(LARGE_TICK_MILLIS)) {
        if (membership.tree.direct) TICK_MILLIS else LARGE_TICK_MILLIS
    }
    private val members = MembershipLoop(store, beliefs, membership, log, clock)
    private val stopping = StopState(settings.times.graceMillis, clock)
    private val lag = LoopLag(clock)
    private var routesSinceMillis: Long? = null
    private val callers = CallerServer(vertx, scope, callerContext())

    /** Listens, then starts to follow the object store; returns when the sockets are bound. */
    public fun start() {
        runBlocking(dispatcher) {
            probes(settings.listen.readiness, protocol.readinessPath to ::readiness)
            callers.start(settings.listen.callers)
            probes(settings.listen.metrics, METRICS_PATH to { ProbeResponse(HttpStatus.OK, metrics.prometheusText()) })
        }
        log.write("started", always = true) { put("callers", settings.listen.callers.toString()) }
        val policy = WatchPolicy(membership.tree, clock, settings.times.applyMillis)
        val runtime = ControlRuntime(scope, ticks, log, clock)
        val watching = WatchContext(store, policy, runtime)
        val watches = listeners().mapValues { (kind, listener) -> ObjectWatch(kind, watching, listener) }
        watches.values.forEach { scope.launch { it.run() } }
        scope.launch { ticks.measure(lag) }
        scope.launch { members.run() }
        val incarnation = Incarnation(settings.instance, clock.nowMillis())
        val context = ControlContext(beliefs, membership, control, protocol.engines, runtime)
        val peers = Peers(PeerContext(settings, beliefs, membership, runtime), incarnation, dispatcher)
        scope.launch { peers.run(watches) }
        scope.launch { EngineLoadLoop(context, peers).run() }
        val lease = OrderLease(incarnation, store, scope, log, PauseDetector(clock), settings.times.leaseMillis)
        scope.launch { RolloutLoop(context, lease, peers).run() }
        scope.launch { CacheStoreLoop(context, peers).run() }
        scope.launch { housekeeping() }
    }

    /**
     * Stops in an orderly way: reports itself as not ready, answers what arrives on open connections, and returns when
     * nothing is under way or the grace period is nearly over.
     */
    public fun stop() {
        runBlocking(dispatcher) {
            stopping.begin()
            log.write("stopping", always = true) { put("connections", callers.openConnections) }
            val untilMillis = clock.nowMillis() + settings.times.graceMillis - EXIT_MARGIN_MILLIS
            withTimeoutOrNull(LEAVE_MILLIS) { members.deregister() }
            val idleMillis = clock.nowMillis() + IDLE_MILLIS
            val earliestMillis = clock.nowMillis() + UNREADY_MILLIS
            while (clock.nowMillis() < if (callers.openConnections > 0) untilMillis else earliestMillis) {
                if (clock.nowMillis() >= idleMillis) callers.closeIdle()
                delay(STOP_POLL_MILLIS)
            }
            // A caller may connect while the last connection ends; it is answered, or finds the port closed.
            val draining = scope.launch { callers.shutdown((untilMillis - clock.nowMillis()).coerceAtLeast(1)) }
            while (draining.isActive && clock.nowMillis() < untilMillis) {
                callers.closeIdle()
                delay(STOP_POLL_MILLIS)
            }
            log.write("stopped", always = true) { put("connections", callers.openConnections) }
        }
        log.flush(FLUSH_MILLIS)
    }

    /** Notes that the settings file was read again; addresses and identity apply from the next start. */
    public fun logReload() {
        log.write("reloaded", always = true)
    }

    private fun callerContext(): CallerContext {
        val context = ServingContext(beliefs, log, metrics, clock, lag)
        val refusals = Refusals(protocol, log, metrics)
        val placer = Placer(settings, beliefs, clock)
        val attempts = Attempts(context, pool, protocol.headers, scope)
        val delivery = Delivery(context, placer, attempts, refusals, SharedRetryBudget(settings.retries))
        return CallerContext(
            clock = clock,
            handler = RelayHandler(context, protocol.headers, delivery, refusals, stopping),
            limits = { beliefs.routes?.configuration?.limits ?: CallerLimits() },
            stopping = { stopping.begun },
            lagMillis = { lag.millis },
            onFault = { fault ->
                log.write("request.malformed", always = true) {
                    put("status", fault.status.code)
                    put("reason", fault.message)
                }
            },
        )
    }

    private fun listeners(): Map<ObjectKind, ObjectListener> = mapOf(
        ObjectKind.CONFIGURATION to ConfigurationListener(beliefs, protocol.content, log),
        ObjectKind.ENDPOINTS to EndpointListener(beliefs, protocol.content, log, clock),
        ObjectKind.WEIGHTS to WeightsListener(beliefs, protocol.content, log, clock),
        ObjectKind.EVACUATIONS to EvacuationListener(beliefs, protocol.content, log),
    )

    private suspend fun probes(
        address: SocketAddress,
        answer: Pair<String, () -> ProbeResponse>,
    ) {
        ProbeServer(vertx, scope, mapOf(answer)).start(address)
    }

    private fun readiness(): ProbeResponse {
        val known = beliefs.routes != null && beliefs.endpointsKnown
        val sinceMillis = if (known) routesSinceMillis ?: clock.nowMillis() else null
        routesSinceMillis = sinceMillis
        val settled = lag.settled || sinceMillis != null && clock.nowMillis() - sinceMillis >= SETTLE_MILLIS
        val ready = !stopping.begun && known && settled
        return ProbeResponse(if (ready) HttpStatus.OK else HttpStatus.UNAVAILABLE)
    }

    private suspend fun housekeeping() {
        while (true) {
            ticks.await(HOUSEKEEPING_TICKS)
            pool.expire()
            beliefs.endpoints.expire(clock.nowMillis()).forEach { gone ->
                log.write("endpoint.expired") { put("endpoint", gone.value) }
            }
        }
    }

    private companion object {
        const val METRICS_PATH = "/metrics"
        const val CONNECT_MILLIS = 2_000

        // Time between the end of the answers and the end of the process.
        const val EXIT_MARGIN_MILLIS = 500L

        // Idle connections are closed after this time; until then a request on one of them is answered, and closes it.
        const val IDLE_MILLIS = 800L

        // The platform asks once a second, and sends no new connections after two answers that are not ready.
        const val UNREADY_MILLIS = 2_200L
        const val LEAVE_MILLIS = 300L
        const val STOP_POLL_MILLIS = 20L
        const val FLUSH_MILLIS = 200L
        const val HOUSEKEEPING_TICKS = 3

        // An instance that is still behind after this time is one of a slow machine, which may be all there are.
        const val SETTLE_MILLIS = 3_000L

        // In this time some three requests arrive at all instances, which choose without knowing of each other.
        const val TICK_MILLIS = 60L

        // Through two hubs news are about a quarter of a second old, as old as the reports of engines.
        const val LARGE_TICK_MILLIS = 100L
    }
}
