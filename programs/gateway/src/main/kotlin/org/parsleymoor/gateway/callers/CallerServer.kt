package org.parsleymoor.gateway.callers

import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.vertx.core.Deployable
import io.vertx.core.DeploymentOptions
import io.vertx.core.Future
import io.vertx.core.VerticleBase
import io.vertx.core.Vertx
import io.vertx.core.http.HttpConnection
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerOptions
import io.vertx.core.http.HttpServerRequest
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import io.vertx.kotlin.coroutines.coAwait
import org.parsleymoor.gateway.CallerSettings
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.function.Supplier

/** The routes that callers use. */
internal class CallerRoutes(
    private val entry: CallerEntry,
    private val completions: CompletionRoutes,
    private val services: ServiceRoutes,
) {
    fun router(vertx: Vertx): Router {
        val router = Router.router(vertx)
        router.post("/v1/chat/completions").handler { entry.handle(it, "chat") { call -> completions.chat(call) } }
        router.post("/v1/completions").handler { entry.handle(it, "completions") { call -> completions.text(call) } }
        router.get("/v1/models").handler { entry.handle(it, "models") { call -> completions.models(call) } }
        router.post("/tickets").handler { entry.handle(it, "tickets") { call -> services.ticket(call) } }
        router.route("/services/*").handler { entry.handle(it, "services") { call -> services.call(call) } }
        router.errorHandler(NOT_FOUND) { entry.refuse(it.request(), unknownPath(it)) }
        router.errorHandler(WRONG_METHOD) { entry.refuse(it.request(), wrongMethod(it)) }
        router.errorHandler(BAD_REQUEST) { entry.refuse(it.request(), malformed(it.failure())) }
        return router
    }

    /** Answers a request that the HTTP decoder rejected. */
    fun rejected(request: HttpServerRequest) {
        entry.refuse(request, malformed(request.decoderResult().cause()))
        request.connection().close()
    }

    private fun unknownPath(context: RoutingContext) =
        Refusal(RefusalKind.UNKNOWN_PATH, "found ${context.request().path().take(SHOWN)}")

    private fun wrongMethod(context: RoutingContext) =
        Refusal(RefusalKind.WRONG_METHOD, "found ${context.request().method()}")

    private fun malformed(cause: Throwable?): Refusal = when (cause) {
        is TooLongHttpHeaderException -> Refusal(RefusalKind.HEADERS_TOO_LARGE, cause.message.orEmpty())
        is TooLongHttpLineException -> Refusal(RefusalKind.PATH_TOO_LONG, cause.message.orEmpty())
        else -> Refusal(RefusalKind.INVALID_REQUEST, "expected an HTTP request, found: ${cause?.message}")
    }

    private companion object {
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
        const val WRONG_METHOD = 405
        const val SHOWN = 200
    }
}

/** The callers' HTTP server; [CallerSettings.eventLoops] servers share the port. */
internal class CallerServer(
    private val vertx: Vertx,
    private val settings: CallerSettings,
    private val routes: CallerRoutes,
) {
    private val idle = ConcurrentHashMap<HttpConnection, Long>()
    private val boundPort = AtomicInteger()
    private var deployment = ""

    // Vert.x takes a negative port for one that the operating system chooses and that all servers of this Vertx with
    // the same number share. Two gateways with one number answered each other's callers, so each has its own.
    private val sharedRandomPort = randomPorts.decrementAndGet()

    /** Suspends until connections are accepted; returns the bound port. */
    suspend fun start(): Int {
        val options = DeploymentOptions().setInstances(settings.eventLoops)
        deployment = vertx.deployVerticle(Supplier<Deployable> { Listener() }, options).coAwait()
        return boundPort.get()
    }

    /** Closes the port and its connections; does nothing when that was done before. */
    suspend fun close() {
        val deployed = deployment
        deployment = ""
        if (deployed.isNotEmpty()) vertx.undeploy(deployed).coAwait()
    }

    /** One server on an event loop of its own. */
    private inner class Listener : VerticleBase() {
        override fun start(): Future<*> {
            val port = if (settings.listen.port == 0) sharedRandomPort else settings.listen.port
            return server().listen(port, settings.listen.host).onSuccess { boundPort.set(it.actualPort()) }
        }
    }

    private fun server(): HttpServer {
        val router = routes.router(vertx)
        val options = HttpServerOptions()
            .setMaxHeaderSize(settings.maximumHeaderBytes)
            .setMaxInitialLineLength(settings.maximumHeaderBytes)
            .setReuseAddress(true)
            // With an upgrade to HTTP/2 on offer, a connection is not seen here before its first whole head.
            .setHttp2ClearTextEnabled(false)
        return vertx.createHttpServer(options)
            .connectionHandler { awaitRequest(it) }
            .invalidRequestHandler { routes.rejected(it) }
            .requestHandler { request ->
                stopWaiting(request.connection())
                request.response().endHandler { awaitRequest(request.connection()) }
                if (request.method() == HttpMethod.CONNECT) routes.rejected(request) else router.handle(request)
            }
    }

    /** Closes a connection that does not send the whole head of a request in time. */
    private fun awaitRequest(connection: HttpConnection) {
        closeAfter(settings.senderMillis, connection) {
            // After a pause of the process its timers run before it reads what arrived meanwhile.
            closeAfter(LATE_READ_MILLIS, connection) {
                idle.remove(connection)
                connection.close()
            }
        }
        connection.closeHandler { stopWaiting(connection) }
    }

    private fun closeAfter(millis: Long, connection: HttpConnection, close: () -> Unit) {
        idle.put(connection, vertx.setTimer(millis) { close() })?.let { vertx.cancelTimer(it) }
    }

    private fun stopWaiting(connection: HttpConnection) {
        idle.remove(connection)?.let { vertx.cancelTimer(it) }
    }

    private companion object {
        const val LATE_READ_MILLIS = 200L
        val randomPorts = AtomicInteger()
    }
}
