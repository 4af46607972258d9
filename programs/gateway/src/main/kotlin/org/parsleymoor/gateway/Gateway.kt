package org.parsleymoor.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import io.vertx.core.Vertx
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.parsleymoor.clients.EngineClient
import org.parsleymoor.clients.GatewayStatus
import org.parsleymoor.clients.OrderStatus
import org.parsleymoor.clients.VertxPlatformClient
import org.parsleymoor.configuration.Configuration
import org.parsleymoor.configuration.EndpointKind
import org.parsleymoor.core.Clock
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.Incarnation
import org.parsleymoor.gateway.callers.CallerEntry
import org.parsleymoor.gateway.callers.CallerRoutes
import org.parsleymoor.gateway.callers.CallerServer
import org.parsleymoor.gateway.callers.CompletionRoutes
import org.parsleymoor.gateway.callers.ServiceRoutes
import org.parsleymoor.gateway.control.CallForwarder
import org.parsleymoor.gateway.control.CallReceiver
import org.parsleymoor.gateway.control.ClaimExecutor
import org.parsleymoor.gateway.control.ConfigurationControl
import org.parsleymoor.gateway.control.LeasedColdStart
import org.parsleymoor.gateway.control.OrderClients
import org.parsleymoor.gateway.control.OrderDriver
import org.parsleymoor.gateway.control.OrderLease
import org.parsleymoor.gateway.control.OrderMeters
import org.parsleymoor.gateway.control.PeerControl
import org.parsleymoor.gateway.control.RegionEngineRouter
import org.parsleymoor.gateway.control.RegionLeader
import org.parsleymoor.gateway.control.RegionLinkMeter
import org.parsleymoor.gateway.control.RolloutProgress
import org.parsleymoor.gateway.forwarding.ForwardReceiver
import org.parsleymoor.gateway.operations.GatewayMetrics
import org.parsleymoor.gateway.operations.OperationsServer
import org.parsleymoor.gateway.operations.RequestRecords
import org.parsleymoor.gateway.operations.Tracing
import org.parsleymoor.gateway.operations.WorkCount
import org.parsleymoor.gateway.serving.AtMostOnceCallFactory
import org.parsleymoor.gateway.serving.BackEndClients
import org.parsleymoor.gateway.serving.ColdStartGuard
import org.parsleymoor.gateway.serving.CompletionRunner
import org.parsleymoor.gateway.serving.EnginePoller
import org.parsleymoor.gateway.serving.FleetReports
import org.parsleymoor.gateway.serving.FleetState
import org.parsleymoor.gateway.serving.LocalColdStartGuard
import org.parsleymoor.gateway.serving.PlacementEngineChooser
import org.parsleymoor.gateway.serving.ServiceRunner
import org.parsleymoor.gateway.serving.ServingDependencies
import org.parsleymoor.gateway.serving.StoreMaintenance
import org.parsleymoor.gateway.serving.StorePoller
import org.parsleymoor.gateway.serving.StorePrefixImporter
import org.parsleymoor.gateway.serving.Telemetry
import org.parsleymoor.gateway.serving.TicketExecutor
import org.parsleymoor.peering.PeerIdentity
import org.parsleymoor.peering.PieceTextCache

/** The ports that a started gateway listens on. */
public data class GatewayPorts(public val callers: Int, public val operations: Int, public val peers: Int)

/** One gateway process: the data path and its operations port. */
public class Gateway(
    private val vertx: Vertx,
    private val settings: GatewaySettings,
    private val clock: Clock = Clock.System,
) {
    private val background = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val incarnation = Incarnation(settings.instance, clock.nowMillis())
    private val holder = ConfigurationHolder()
    private val work = WorkCount()
    private val metrics = GatewayMetrics()
    private val tracing = Tracing.of(settings.instance, settings.tracing)
    private val telemetry = Telemetry(RequestRecords(settings.instance, clock), metrics, tracing)
    private val platform = settings.platform?.let { VertxPlatformClient(vertx, it) }
    private val linkMeter = RegionLinkMeter(clock, metrics) { peers.members.gatewaysInRegion() }
    private val backEnds = BackEndClients(vertx, RegionEngineRouter(settings.region, holder, { peers }, linkMeter))
    private val receiver = ForwardReceiver(PieceTextCache(TEXT_STORE_BYTES)) { forwardTarget(it) }
    private val identity = PeerIdentity(incarnation, settings.zone, settings.region)
    private val peers: PeerControl = PeerControl(identity, platform, holder, receiver, clock, background)
    private val configurationControl =
        ConfigurationControl(settings.instance, platform, holder, clock, background, peers)
    private val cold: ColdStartGuard = coldStart()
    private val fleetState = FleetState(clock, settings.region, cold)
    private val reports = FleetReports(holder, fleetState)
    private val rollouts = RolloutProgress(holder, reports::status)
    private val orders = platform?.let {
        val lease = OrderLease(incarnation, it, settings.orders.lease(), clock, background)
        val meters = OrderMeters(metrics, rollouts)
        OrderDriver(incarnation, lease, OrderClients(vertx), holder, meters) { peers.members.mayContend("orders") }
    }
    private val tools = ServingDependencies(
        configuration = holder,
        backEnds = backEnds,
        telemetry = telemetry,
        clock = clock,
        streams = settings.streams,
        background = background,
    )
    private val onceCalls = AtMostOnceCallFactory(ServiceRunner(tools))
    private val forwarder = CallForwarder({ peers.directory }, clock, tracing)
    private val tickets = TicketExecutor(incarnation, forwarder, background)
    private val claims =
        platform?.let { ClaimExecutor(incarnation, it, tickets, forwarder, clock, background) }?.also { it.start() }
    private val keeper = StoreMaintenance(tools, fleetState, RegionLeader(settings.instance, peers.members))
    private val completions = CompletionRunner(
        tools,
        PlacementEngineChooser(holder, fleetState),
        StorePrefixImporter(tools, fleetState, keeper.retention),
    )
    private val callers = CallerServer(vertx, settings.callers, routes())
    private val operations =
        OperationsServer(vertx, settings.operations, holder, telemetry, ::status)

    /** Suspends until both servers accept connections; returns their ports. */
    public suspend fun start(): GatewayPorts {
        registerGauges()
        val receiver = CallReceiver(tools, work, onceCalls, claims ?: tickets)
        val peerPort = peers.start(settings.peers, configurationControl, receiver)
        configurationControl.start()
        background.launch {
            EnginePoller(holder, backEnds, reports, clock, onCacheChanges = keeper::acceptChanges).run()
        }
        background.launch { StorePoller(holder, backEnds, reports, clock).run() }
        background.launch { keeper.run() }
        background.launch { pump() }
        orders?.start(clock, background)
        background.launch { holder.changes.collect { it?.let { view -> applied(view) } } }
        val ports = GatewayPorts(callers.start(), operations.start(), peerPort)
        logger.info { "gateway ${settings.instance} accepts callers on port ${ports.callers}" }
        return ports
    }

    /** Puts [configuration] into effect unless a later revision is; returns the revision in effect. */
    public fun accept(configuration: Configuration): Long = holder.accept(configuration)

    /**
     * Stops gracefully: is not ready and refuses new requests, for [noticeMillis] at least, so that the load balancer
     * sends nothing to a port that closes; suspends until the running requests have ended or the drain limit has
     * passed, and closes. Returns whether all requests ended by themselves.
     */
    public suspend fun stop(noticeMillis: Long = 0): Boolean {
        logger.info { "gateway ${settings.instance} is leaving with ${work.running} requests in progress" }
        peers.leave()
        work.leave()
        orders?.stop()
        delay(noticeMillis)
        val drained = work.drain(settings.drainMillis)
        if (!drained) logger.warn { "${work.running} requests are cut off after ${settings.drainMillis} ms" }
        callers.close()
        operations.close()
        background.cancel()
        peers.close()
        platform?.close()
        backEnds.close()
        tracing.close()
        return drained
    }

    private fun routes(): CallerRoutes {
        val senderMillis = settings.callers.senderMillis
        return CallerRoutes(
            CallerEntry(vertx, tools, work, background),
            CompletionRoutes(completions, senderMillis),
            ServiceRoutes(ServiceRunner(tools), onceCalls, claims ?: tickets, senderMillis),
        )
    }

    private fun coldStart(): ColdStartGuard {
        val limit = { holder.current?.configuration?.limits?.coldLimit ?: 0 }
        val source = platform ?: return LocalColdStartGuard(limit)
        return LeasedColdStart(incarnation, source, clock, background, limit) { peers.members.mayContend("cold.$it") }
            .also { it.start() }
    }

    /** The client of an engine of this region that takes new work, for a request from another region. */
    private fun forwardTarget(endpoint: EndpointId): EngineClient? {
        val view = holder.current
        val engine = view?.endpoint(endpoint)?.takeIf { it.kind == EndpointKind.ENGINE && view.takesNewWork(endpoint) }
        return engine?.let { backEnds.direct(it) }
    }

    private fun status() = GatewayStatus(
        instance = settings.instance,
        zone = settings.zone,
        startMillis = incarnation.startMillis,
        revision = holder.revision,
        ready = holder.current != null && !work.leaving,
        leaving = work.leaving,
        models = completions.traffic(),
        endpoints = reports.status(),
        orders = orders?.status() ?: OrderStatus(),
        rollouts = rollouts.current(),
    )

    private fun applied(view: ServingView) {
        logger.info { "configuration revision ${view.configuration.revision} is in effect" }
        backEnds.retain(view.configuration.endpoints.map { it.address }.toSet())
        claims?.retain(view.configuration.limits.claimRetentionHours)
        completions.admitWaiting()
    }

    private suspend fun pump() {
        while (true) {
            delay(PUMP_MILLIS)
            completions.admitWaiting()
        }
    }

    private fun registerGauges() {
        metrics.gauge("parsleymoor.running.requests") { work.running }
        metrics.gauge("parsleymoor.queued.requests") { completions.traffic().sumOf { it.queued } }
        metrics.gauge("parsleymoor.request.records") { telemetry.records.size }
        metrics.gauge("parsleymoor.configuration.revision") { holder.revision }
        metrics.gauge("parsleymoor.cache.directory.blocks") { reports.knownBlocks() }
        metrics.gauge("parsleymoor.limit", "limit", "queue_length") {
            holder.current?.configuration?.limits?.queueLength ?: 0
        }
        metrics.gauge("parsleymoor.limit", "limit", "concurrent_per_engine") {
            holder.current?.configuration?.limits?.concurrentPerEngine ?: 0
        }
    }

    private companion object {
        val logger = KotlinLogging.logger {}

        // Capacity also grows with time alone, when a suspect engine is tried again.
        const val PUMP_MILLIS = 200L
        const val TEXT_STORE_BYTES = 16L * 1024 * 1024
    }
}
