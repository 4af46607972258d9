package org.parsleymoor.entry

import io.vertx.core.VertxOptions
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.parsleymoor.core.Clock
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.OrganisationId
import org.parsleymoor.core.RegionId
import org.parsleymoor.core.RequestId
import org.parsleymoor.core.ZoneId
import org.parsleymoor.entry.callers.CallerContext
import org.parsleymoor.entry.callers.CallerLoad
import org.parsleymoor.entry.callers.CallerServer
import org.parsleymoor.entry.callers.ConnectionClosure
import org.parsleymoor.entry.callers.ConnectionEvents
import org.parsleymoor.entry.log.StructuredLog
import org.parsleymoor.entry.net.ConnectionPool
import org.parsleymoor.entry.net.vertxWithAcceptLimit
import org.parsleymoor.entry.protocol.CallerHeaders
import org.parsleymoor.entry.protocol.ContentDecoder
import org.parsleymoor.entry.protocol.EndpointHeaders
import org.parsleymoor.entry.protocol.EngineProtocol
import org.parsleymoor.entry.protocol.HeaderNames
import org.parsleymoor.entry.protocol.ObjectProtocol
import org.parsleymoor.entry.protocol.ReleaseProtocol
import org.parsleymoor.entry.protocol.ServingProtocol
import org.parsleymoor.entry.protocol.SystemHeaders
import org.parsleymoor.entry.serving.AttemptRunner
import org.parsleymoor.entry.serving.Delivery
import org.parsleymoor.entry.serving.DeploymentView
import org.parsleymoor.entry.serving.EndpointSelector
import org.parsleymoor.entry.serving.EventLoopLag
import org.parsleymoor.entry.serving.GracefulShutdown
import org.parsleymoor.entry.serving.InstanceLoad
import org.parsleymoor.entry.serving.LeavingLog
import org.parsleymoor.entry.serving.QuarantineGate
import org.parsleymoor.entry.serving.Refusal
import org.parsleymoor.entry.serving.RefusalWriter
import org.parsleymoor.entry.serving.RelayHandler
import org.parsleymoor.entry.serving.ServingContext
import org.parsleymoor.entry.serving.ShutdownGate
import org.parsleymoor.entry.serving.ShutdownState
import org.parsleymoor.relay.fleet.EndpointEntry
import org.parsleymoor.relay.fleet.SocketAddress
import org.parsleymoor.relay.limits.ConnectionLimits
import org.parsleymoor.relay.limits.HeldBytes
import org.parsleymoor.relay.limits.RetryLimit
import org.parsleymoor.relay.limits.SharedRetryBudget
import org.parsleymoor.relay.release.ExposureLimit
import org.parsleymoor.relay.routing.CallerLimits
import org.parsleymoor.relay.routing.Organisation
import org.parsleymoor.relay.routing.RequestKind
import org.parsleymoor.relay.routing.Route
import org.parsleymoor.relay.routing.RouteTable
import org.parsleymoor.relay.routing.RouteTarget
import org.parsleymoor.relay.routing.Service
import org.parsleymoor.relay.routing.ServingConfiguration
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue

/** The data path of an entry daemon in front of [endpoints], without the control loops. */
@Suppress("LongParameterList")
internal class RelayHarness(
    vararg endpoints: ScriptedEndpoint,
    kind: RequestKind = RequestKind.NON_IDEMPOTENT,
    resumable: Boolean = false,
    attempts: Int = 2,
    configured: Boolean = true,
    timeoutMillis: Long = 2_000,
    exposure: ExposureLimit? = null,
) : AutoCloseable {
    private val connectionLimits =
        ConnectionLimits.of(Integer.getInteger("relay.descriptors", 4_096), Runtime.getRuntime().maxMemory())
    private val vertx = vertxWithAcceptLimit(VertxOptions(), connectionLimits.accepted)
    private val dispatcher = vertx.orCreateContext.dispatcher()
    private val scope = CoroutineScope(SupervisorJob() + dispatcher)
    private val logged = BoundedOutput()
    val log = StructuredLog(Clock.System, "test", PrintStream(logged))
    private val deployment = DeploymentView(InstanceId("test"), exposure)
    private val shutdown = ShutdownGate(ShutdownState(GRACE_MILLIS, Clock.System), Clock.System)
    val metrics = EntryMetrics()
    private val budget = SharedRetryBudget(RetryLimit(share = 1.0, extra = 100.0, windowMillis = 10_000)) { 1.0 }
    private val server: CallerServer
    val handler: RelayHandler
    val lag = EventLoopLag(Clock.System)

    /** The account of the messages that are held. */
    val held = HeldBytes(Runtime.getRuntime().maxMemory() / 4)

    /** The limits in force. */
    @Volatile
    var limits = CallerLimits(headBytes = 2_048, bodyBytes = 10_000)

    /** The closed connections of callers. */
    val closures = LinkedBlockingQueue<ConnectionClosure>()
    val port: Int = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }

    init {
        if (configured) deployment.routes = RouteTable(configuration(kind, resumable, attempts, timeoutMillis))
        deployment.endpointsKnown = true
        deployment.listMembers(setOf(deployment.self), Clock.System.nowMillis())
        endpoints.forEachIndexed { index, endpoint -> deployment.endpoints.put(entry("e$index", endpoint.port), 0) }
        deployment.onLeaving = LeavingLog(log, metrics)::learned
        val context = ServingContext(deployment, log, metrics, Clock.System, shutdown, InstanceLoad(lag, held))
        val refusals = RefusalWriter(TestProtocol, log, context.metrics)
        val pool = ConnectionPool(vertx.createNetClient(), Clock.System)
        val quarantine = QuarantineGate(context)
        val delivery = Delivery(
            context,
            EndpointSelector(settings(), context),
            AttemptRunner(context, pool, NAMES, scope, quarantine),
            refusals,
            budget,
            quarantine,
        )
        handler = RelayHandler(context, NAMES, delivery, refusals)
        val callers = CallerContext(
            clock = Clock.System,
            handler = handler,
            limits = { limits },
            stopping = { shutdown.state.begun },
            load = CallerLoad(held, connectionLimits) { lag.millis },
            events = ConnectionEvents(onClosed = closures::add) { head, writer ->
                refusals.write(writer, RequestId(head?.headers?.get(NAMES.caller.attemptId).orEmpty()), Refusal.NoRoom)
            },
        )
        server = CallerServer(vertx, scope, callers)
        runBlocking(dispatcher) { server.start(SocketAddress("127.0.0.1", port)) }
    }

    /** Starts the grace period, at the end of which all connections are cut off as by the exit of the process. */
    fun stop(): Job = scope.launch {
        shutdown.state.begin()
        GracefulShutdown(server, scope, Clock.System, shutdown).run()
        scope.cancel()
    }

    /** Opens a connection as a caller. */
    fun caller(): Socket = Socket(InetAddress.getLoopbackAddress(), port).also { it.soTimeout = 5_000 }

    /** Sends [request] on a new connection and returns everything received until it closes. */
    fun exchange(request: String): String = caller().use { socket ->
        socket.send(request)
        String(socket.getInputStream().readAllBytes())
    }

    /** Adds an endpoint at a port that no connection can be opened to. */
    fun addUnconnectableEndpoint() = addEndpoint("unconnectable", port = 70_000)

    /** Lists an endpoint [name] at [port]. */
    fun addEndpoint(name: String, port: Int) {
        runBlocking(dispatcher) { deployment.endpoints.put(entry(name, port), 0) }
    }

    /** Lists the endpoint [name] of [service] at [port]. */
    fun putEndpoint(name: String, port: Int, service: String) {
        onEventLoop { it.endpoints.put(entry(name, port).copy(service = service), 0) }
    }

    /** Allows [limit] connections to each endpoint. */
    fun limitConnections(limit: Int) = configure { configuration ->
        configuration.copy(services = configuration.services.mapValues { it.value.copy(connectionLimit = limit) })
    }

    /** Puts a new version of the configuration in force, made from the present one by [change]. */
    fun configure(change: (ServingConfiguration) -> ServingConfiguration) {
        onEventLoop { deployment ->
            val configuration = checkNotNull(deployment.routes).configuration
            deployment.routes = RouteTable(change(configuration).copy(version = configuration.version + 1))
        }
    }

    /** Lists all endpoints under [service]. */
    fun moveEndpoints(service: String) {
        onEventLoop { deployment ->
            deployment.endpoints.all.map { it.entry.copy(service = service) }
                .forEach { deployment.endpoints.put(it, Clock.System.nowMillis()) }
        }
    }

    /** Keeps the event loop busy for [millis]; returns at once. */
    fun blockEventLoop(millis: Long) {
        scope.launch { Thread.sleep(millis) }
    }

    /** Runs [action] on the event loop, to which the state is confined. */
    fun <T> onEventLoop(action: suspend (DeploymentView) -> T): T = runBlocking(dispatcher) { action(deployment) }

    /** Takes all but [bytes] of the room for messages. */
    fun leaveRoom(bytes: Long) {
        onEventLoop {
            var left = held.limitBytes - held.totalBytes
            while (left > bytes) {
                held.newHolder().tryResize(minOf(left - bytes, left / 2))
                left = held.limitBytes - held.totalBytes
            }
        }
    }

    /** Takes all that is left of the retry budget. */
    fun useUpRetryBudget() {
        onEventLoop { while (budget.tryTakeRetry("s", Clock.System.nowMillis())) Unit }
    }

    /** Returns the log lines of [event]. */
    fun logged(event: String): List<String> {
        log.flush(LOG_FLUSH_MILLIS)
        return logged.toString().lines().filter { it.contains("\"event\":\"$event\"") }
    }

    /** Returns the whole log. */
    fun allLogged(): String {
        log.flush(LOG_FLUSH_MILLIS)
        return logged.toString()
    }

    override fun close() {
        vertx.close()
    }

    private fun settings(): EntrySettings {
        val address = SocketAddress("127.0.0.1", port)
        return EntrySettings(
            instance = deployment.self,
            zone = ZoneId("a"),
            region = RegionId("north"),
            zones = mapOf(ZoneId("a") to RegionId("north")),
            listen = ListenAddresses(address, address, address, address),
            objectStore = address,
            times = EntryTimes(
                graceMillis = GRACE_MILLIS,
                leaseMillis = 3_000,
                weightsMillis = 10_000,
                applyMillis = 5_000
            ),
            retries = RetryLimit(share = 1.0, extra = 100.0, windowMillis = 10_000),
            cold = ColdAllowance(overage = 1.5, slack = 5.0),
        )
    }

    private fun entry(name: String, port: Int) = EndpointEntry(
        id = EndpointId(name),
        service = "s",
        address = SocketAddress("127.0.0.1", port),
        zone = ZoneId("a"),
        draining = false,
        slots = 4,
    )

    private fun configuration(
        kind: RequestKind,
        resumable: Boolean,
        attempts: Int,
        timeoutMillis: Long,
    ) = ServingConfiguration(
        version = 1,
        routes = listOf(
            Route(
                name = "r",
                host = "h",
                pathPrefix = "/r/",
                kind = kind,
                targets = listOf(RouteTarget("s", 1.0)),
                timeoutMillis = timeoutMillis,
                objectiveMillis = 1_000,
                attempts = attempts,
                resumable = resumable,
            ),
        ),
        services = mapOf("s" to Service("s", connectionLimit = 10, coldMillis = 0, coldRequestsPerSecond = 0.0)),
        organisations = listOf(Organisation(OrganisationId("org"), setOf("secret"))),
        limits = CallerLimits(),
    )

    companion object {
        /** Grace period of a stop. */
        const val GRACE_MILLIS = 5_000L
        private const val LOG_FLUSH_MILLIS = 1_000L
    }
}

/** Keeps about the first `relay.logBytes` bytes, if that is set, so that a log does not fill a small heap. */
private class BoundedOutput : ByteArrayOutputStream() {
    private val limitBytes = Integer.getInteger("relay.logBytes", Int.MAX_VALUE)

    override fun write(bytes: ByteArray, offset: Int, length: Int) {
        if (count < limitBytes) super.write(bytes, offset, length)
    }
}

/** Header names that no deployment uses, to show that nothing depends on the real ones. */
internal val NAMES = HeaderNames(
    caller = CallerHeaders(
        attemptId = "Id", deadlineMillis = "Wait", key = "Authorization", keyScheme = "Key", model = "Model",
        tokenUsage = "Usage", promptParts = "Parts", lastEventId = "Last-Event-Id", retryAfter = "Retry-After",
    ),
    system = SystemHeaders(
        organisation = "Org",
        expectedEndpoint = "Expect-Endpoint",
        expectedWeights = "Expect-Weights",
        cacheNamespace = "Space",
        urgency = "Urgency",
        cacheSource = "Source",
        cacheTarget = "Target",
        cacheUntil = "Until",
        reserved = setOf("Reserved"),
    ),
    endpoint = EndpointHeaders(
        seal = "Seal",
        notRun = "Not-Run",
        load = "Load",
        endpoint = "Endpoint",
        coldMillis = "Cold",
        weights = "Weights",
        leaving = "Leaving",
        pause = "Retry-After",
        limit = "Limit",
    ),
)

private object TestProtocol : ServingProtocol {
    override val headers: HeaderNames get() = NAMES
    override val objects: ObjectProtocol get() = error("the data path does not access the object store")
    override val content: ContentDecoder get() = error("the data path does not decode objects")
    override val engines: EngineProtocol get() = error("the data path sends no control requests to engines")
    override val releases: ReleaseProtocol get() = error("the data path writes no status of a release")
    override val readinessPath: String get() = "/ready"

    override fun refusalBody(reason: String): String = reason
}
