package org.parsleymoor.entry

import io.vertx.core.VertxOptions
import io.vertx.core.net.NetClientOptions
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.put
import org.parsleymoor.core.Clock
import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.PauseDetector
import org.parsleymoor.core.RequestId
import org.parsleymoor.core.stableHash
import org.parsleymoor.entry.callers.CallerContext
import org.parsleymoor.entry.callers.CallerLoad
import org.parsleymoor.entry.callers.CallerServer
import org.parsleymoor.entry.callers.ConnectionEvents
import org.parsleymoor.entry.callers.ConnectionLog
import org.parsleymoor.entry.control.ConfigurationListener
import org.parsleymoor.entry.control.ControlContext
import org.parsleymoor.entry.control.ControlRuntime
import org.parsleymoor.entry.control.ControlTicks
import org.parsleymoor.entry.control.EndpointListener
import org.parsleymoor.entry.control.EvacuationListener
import org.parsleymoor.entry.control.ExchangeLoops
import org.parsleymoor.entry.control.IsolatedListener
import org.parsleymoor.entry.control.LoopSupervisor
import org.parsleymoor.entry.control.Membership
import org.parsleymoor.entry.control.MembershipLoop
import org.parsleymoor.entry.control.ObjectListener
import org.parsleymoor.entry.control.ObjectStore
import org.parsleymoor.entry.control.ObjectWatch
import org.parsleymoor.entry.control.OrderLease
import org.parsleymoor.entry.control.PeerContext
import org.parsleymoor.entry.control.Peers
import org.parsleymoor.entry.control.RejectedResponseLog
import org.parsleymoor.entry.control.ReleaseListener
import org.parsleymoor.entry.control.ReleaseLog
import org.parsleymoor.entry.control.ReleaseLoop
import org.parsleymoor.entry.control.ReleaseStore
import org.parsleymoor.entry.control.StartOrder
import org.parsleymoor.entry.control.StoreEra
import org.parsleymoor.entry.control.UnreadableObjectLog
import org.parsleymoor.entry.control.WatchContext
import org.parsleymoor.entry.control.WatchPolicy
import org.parsleymoor.entry.control.WeightsListener
import org.parsleymoor.entry.log.LibraryLogHandler
import org.parsleymoor.entry.log.StructuredLog
import org.parsleymoor.entry.net.ConnectionPool
import org.parsleymoor.entry.net.ControlClient
import org.parsleymoor.entry.net.vertxWithAcceptLimit
import org.parsleymoor.entry.protocol.ObjectKind
import org.parsleymoor.entry.protocol.ServingProtocol
import org.parsleymoor.entry.serving.AnnouncementReader
import org.parsleymoor.entry.serving.AttemptRunner
import org.parsleymoor.entry.serving.Delivery
import org.parsleymoor.entry.serving.DeploymentView
import org.parsleymoor.entry.serving.EndpointSelector
import org.parsleymoor.entry.serving.EndpointStateUpdater
import org.parsleymoor.entry.serving.EventLoopLag
import org.parsleymoor.entry.serving.GracefulShutdown
import org.parsleymoor.entry.serving.InstanceLoad
import org.parsleymoor.entry.serving.InstancePartLog
import org.parsleymoor.entry.serving.LeavingLog
import org.parsleymoor.entry.serving.LimitRecorder
import org.parsleymoor.entry.serving.PauseRecorder
import org.parsleymoor.entry.serving.QuarantineGate
import org.parsleymoor.entry.serving.Refusal
import org.parsleymoor.entry.serving.RefusalWriter
import org.parsleymoor.entry.serving.RelayHandler
import org.parsleymoor.entry.serving.ServingContext
import org.parsleymoor.entry.serving.ShutdownGate
import org.parsleymoor.entry.serving.ShutdownState
import org.parsleymoor.entry.serving.SpeedRecorder
import org.parsleymoor.relay.exchange.Member
import org.parsleymoor.relay.fleet.ListOutages
import org.parsleymoor.relay.fleet.SocketAddress
import org.parsleymoor.relay.fleet.expireLeaving
import org.parsleymoor.relay.http.HttpStatus
import org.parsleymoor.relay.limits.HeldBytes
import org.parsleymoor.relay.limits.InstanceShare
import org.parsleymoor.relay.limits.RegistrationTimes
import org.parsleymoor.relay.limits.SharedRetryBudget
import org.parsleymoor.relay.routing.CallerLimits

/**
 * Entry daemon, which relays callers' requests to endpoints and takes part in controlling the deployment. All state is
 * confined to one event loop. [protocol] defines the names and message formats of the deployment.
 */
public class EntryDaemon(
    private val settings: EntrySettings,
    private val protocol: ServingProtocol,
    private val clock: Clock = Clock.System,
) {
    private val log = StructuredLog(clock, settings.instance.value).also { LibraryLogHandler(it).install() }
    private val connectionLimits = settings.connectionLimits(Runtime.getRuntime().maxMemory())
    private val vertx = vertxWithAcceptLimit(
        VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1).setInternalBlockingPoolSize(1),
        connectionLimits.accepted,
    )
    private val metrics = EntryMetrics()
    private val dispatcher = vertx.orCreateContext.dispatcher()
    private val scope = CoroutineScope(
        SupervisorJob() + dispatcher + CoroutineExceptionHandler { _, cause ->
            log.write("coroutine.failed", always = true) { put("cause", cause.stackTraceToString()) }
        },
    )
    private val held = HeldBytes(Runtime.getRuntime().maxMemory() / HELD_SHARE)

    // Apart from callers and endpoints, which must not keep the store's responses out.
    private val heldByControl = HeldBytes(Runtime.getRuntime().maxMemory() / CONTROL_SHARE)
    private val deployment =
        DeploymentView(settings.instance, settings.exposure, ListOutages(settings.times.heartbeatMillis))
            .apply { memberZones = mapOf(self to settings.zone) }
    private val client = vertx.createNetClient(
        NetClientOptions().setTcpNoDelay(true).setConnectTimeout(CONNECT_MILLIS),
    )
    private val pool = ConnectionPool(client, clock)
    private val controlPool = ConnectionPool(client, clock)
    private val pauses = PauseRecorder(deployment, log, metrics, clock)
    private val limits = LimitRecorder(deployment, log, metrics, clock)
    private val announcements =
        AnnouncementReader(deployment, protocol.headers, pauses, limits, EndpointStateUpdater(protocol.headers, clock))
    private val controlClient = ControlClient(controlPool, heldByControl, announcements)
    private val leavingLog = LeavingLog(log, metrics).also { deployment.onLeaving = it::learned }
    private val era = StoreEra(log, metrics.storeRestores)
    private val store = ObjectStore(
        protocol = protocol.objects,
        era = era,
        send = { call, timeoutMillis -> controlClient.call(settings.objectStore, call, timeoutMillis) },
        onUnreadable = UnreadableObjectLog(log)::record,
    )
    private val membership = Membership(
        Member(settings.instance, settings.listen.peers.toString(), settings.zone, settings.processors),
    )
    private val ticks = ControlTicks(clock, settings.instance.value.stableHash().mod(HUB_TICK_MILLIS)) {
        if (membership.tree.direct) DIRECT_TICK_MILLIS else HUB_TICK_MILLIS
    }
    private val retryShare = InstanceShare(RegistrationTimes(), settings.retries.windowMillis)
    private val membershipLoop = MembershipLoop(store, deployment, membership, log, clock, retryShare)
    private val shutdown = ShutdownGate(ShutdownState(settings.times.graceMillis, clock), clock)
    private val lag = EventLoopLag(clock)
    private val instancePart = InstancePartLog(deployment, log, metrics, clock)
    private val speeds = SpeedRecorder(deployment, lag, log, metrics, clock)
    private var knownSinceMillis: Long? = null
    private val callerServer = CallerServer(vertx, scope, callerContext())

    /**
     * Binds the listening sockets, then starts the control loops in the order in which callers need them; returns when
     * the sockets are bound.
     */
    public fun start() {
        runBlocking(dispatcher) {
            startProbeServer(settings.listen.readiness, protocol.readinessPath to ::readiness)
            callerServer.start(settings.listen.callers)
            startProbeServer(
                settings.listen.metrics,
                METRICS_PATH to { ProbeResponse(HttpStatus.OK, metrics.prometheusText()) }
            )
        }
        log.write("started", always = true) { put("callers", settings.listen.callers.toString()) }
        val incarnation = Incarnation(settings.instance, clock.nowMillis())
        // Before the first call to the store, so that the lease learns of every era.
        val lease = OrderLease(incarnation, store, scope, log, PauseDetector(clock), settings.times.leaseMillis)
        val policy = WatchPolicy(membership.tree, clock, settings.times.applyMillis)
        val runtime = ControlRuntime(scope, ticks, log, clock)
        val watchContext =
            WatchContext(store, policy, runtime, metrics.storeFailedCalls, settings.times.stableMillis)
        val watches = listeners().mapValues { (kind, listener) ->
            ObjectWatch(kind, watchContext, IsolatedListener(kind, listener, log))
        }
        val loops = LoopSupervisor(scope, log, clock, metrics::recordLoopFailure)
        watches.forEach { (kind, watch) -> loops.start("watch ${kind.name.lowercase()}") { watch.run() } }
        loops.start("lag") { ticks.measure(lag) }
        val order = StartOrder(deployment, lag, ticks, clock) { watches.values.all { it.isStoreUnreachable } }
        loops.start("members") {
            order.awaitKnown()
            membershipLoop.run()
        }
        loops.start("housekeeping") { housekeeping() }
        loops.start("exchange") {
            order.awaitCalm()
            val rejected = RejectedResponseLog(log, metrics, clock)
            val context = ControlContext(deployment, membership, controlClient, protocol.engines, runtime, rejected)
            val peers = Peers(PeerContext(settings, deployment, membership, era, runtime), incarnation, dispatcher)
            ExchangeLoops(context, peers, lease).start(loops, watches)
            if (settings.exposure != null) {
                val releaseStore = ReleaseStore(store, protocol.releases)
                val releases = ReleaseLoop(deployment, runtime, releaseStore, lease, ReleaseLog(log, metrics))
                loops.start("releases") { releases.run() }
            }
        }
    }

    /**
     * Shuts down gracefully: reports itself as not ready, serves requests that arrive on open connections, and returns
     * when none are left or the grace period is nearly over.
     */
    public fun stop() {
        runBlocking(dispatcher) {
            shutdown.state.begin()
            log.write("stopping", always = true) { put("connections", callerServer.openConnections) }
            withTimeoutOrNull(DEREGISTER_MILLIS) { membershipLoop.deregister() }
            GracefulShutdown(callerServer, scope, clock, shutdown).run()
            log.write("stopped", always = true) { put("connections", callerServer.openConnections) }
        }
        log.flush(FLUSH_MILLIS)
    }

    /** Logs a request to reload. Settings are read only at the start, so changes apply from the next start. */
    public fun logReload() {
        log.write("reloaded", always = true)
    }

    private fun callerContext(): CallerContext {
        val context = ServingContext(deployment, log, metrics, clock, shutdown, InstanceLoad(lag, held))
        val refusals = RefusalWriter(protocol, log, metrics)
        val connections = ConnectionLog(log, metrics, held)
        val selector = EndpointSelector(settings, context, startMillis = clock.nowMillis())
        val quarantine = QuarantineGate(context)
        val attempts = AttemptRunner(context, pool, protocol.headers, scope, quarantine)
        val budget = SharedRetryBudget(settings.retries, retryShare::at)
        val delivery = Delivery(context, selector, attempts, refusals, budget, quarantine)
        return CallerContext(
            clock = clock,
            handler = RelayHandler(context, protocol.headers, delivery, refusals),
            limits = { deployment.routes?.configuration?.limits ?: CallerLimits() },
            stopping = { shutdown.state.begun },
            load = CallerLoad(held, connectionLimits) { lag.millis },
            events = ConnectionEvents(connections::malformed, connections::closed, connections::shed) { head, writer ->
                val id = RequestId(head?.headers?.get(protocol.headers.caller.attemptId).orEmpty())
                refusals.write(writer, id, Refusal.NoRoom)
            },
        )
    }

    private fun listeners(): Map<ObjectKind, ObjectListener> = mapOf(
        ObjectKind.CONFIGURATION to ConfigurationListener(deployment, protocol.content, log),
        ObjectKind.ENDPOINTS to EndpointListener(
            deployment,
            protocol.content,
            log,
            clock,
            heartbeatMillis = settings.times.heartbeatMillis,
            metrics = metrics.endpointList,
        ),
        ObjectKind.WEIGHTS to WeightsListener(deployment, protocol.content, log, clock),
        ObjectKind.EVACUATIONS to EvacuationListener(
            deployment,
            protocol.content,
            log,
            clock,
            keepMillis = settings.times.rewriteMillis,
        ),
    ) + listOfNotNull(
        // Without a limit the releases of a service are not told apart, and no calls are made for their orders.
        settings.exposure?.let { ObjectKind.RELEASES to ReleaseListener(deployment, protocol.releases, log, clock) },
    )

    private suspend fun startProbeServer(
        address: SocketAddress,
        handler: Pair<String, () -> ProbeResponse>,
    ) {
        ProbeServer(vertx, scope, mapOf(handler)).start(address)
    }

    private fun readiness(): ProbeResponse {
        val known = deployment.routes != null && deployment.isKnown
        val sinceMillis = if (known) knownSinceMillis ?: clock.nowMillis() else null
        knownSinceMillis = sinceMillis
        val settled = lag.settled || sinceMillis != null && clock.nowMillis() - sinceMillis >= MAX_SETTLE_MILLIS
        val ready = !shutdown.state.begun && known && settled
        return ProbeResponse(if (ready) HttpStatus.OK else HttpStatus.UNAVAILABLE)
    }

    private suspend fun housekeeping() {
        while (true) {
            ticks.await(HOUSEKEEPING_TICKS)
            pool.expire()
            deployment.quarantine.expire(clock.nowMillis())
            deployment.routes?.let { shutdown.durations.retain(it.configuration.routes) }
            pauses.expire()
            speeds.logChanges()
            instancePart.logChange()
            deployment.endpoints.expireLeaving(clock.nowMillis()).forEach(leavingLog::ended)
            listOf(pool, controlPool).forEach { connections ->
                deployment.endpoints.leavingListed.forEach { connections.discardIdle(it.entry.address) }
            }
            deployment.endpoints.limits.named
                .expire(deployment.endpoints.all.map { it.entry.id }.toSet(), clock.nowMillis())
            deployment.endpoints.expire(clock.nowMillis()).forEach { gone ->
                log.write("endpoint.expired") { put("endpoint", gone.value) }
            }
        }
    }

    private companion object {
        // The share of the heap that messages may take; the rest is for the state, buffers of sockets and garbage.
        const val HELD_SHARE = 4
        const val CONTROL_SHARE = 8

        const val METRICS_PATH = "/metrics"
        const val CONNECT_MILLIS = 2_000

        const val DEREGISTER_MILLIS = 300L
        const val FLUSH_MILLIS = 200L
        const val HOUSEKEEPING_TICKS = 3

        // After this time an instance is ready even if its event loop lags, because all machines may be slow.
        const val MAX_SETTLE_MILLIS = 3_000L

        // All instances receive about three requests in this time, which they place without knowing of each other.
        const val DIRECT_TICK_MILLIS = 60L

        // Updates forwarded by two hubs are then about a quarter of a second old, like the reports of engines.
        const val HUB_TICK_MILLIS = 100L
    }
}
