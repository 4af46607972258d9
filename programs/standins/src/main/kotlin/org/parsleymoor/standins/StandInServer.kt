package org.parsleymoor.standins

import io.vertx.core.Vertx
import io.vertx.core.http.HttpConnection
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import io.vertx.ext.web.handler.BodyHandler
import io.vertx.kotlin.coroutines.CoroutineVerticle
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CoroutineScope
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import org.parsleymoor.clients.WireJson

/** The HTTP server of a stand-in. All its handlers and coroutines run on one event loop, so its state needs no lock. */
internal class StandInServer(
    private val vertx: Vertx,
    private val host: String,
    private val port: Int,
    private val routes: (Router, CoroutineScope) -> Unit,
) {
    private val open = LinkedHashSet<HttpConnection>()
    private val silent = HashSet<HttpConnection>()

    /** Suspends until connections are accepted and returns the bound port. */
    suspend fun start(): Int {
        val verticle = Listener()
        vertx.deployVerticle(verticle).coAwait()
        return verticle.boundPort
    }

    /** Lets the connections that are open now stay open and answer nothing more. */
    fun silenceOpenConnections() {
        silent += open
    }

    /** Closes every connection with no answer. */
    fun closeConnections() {
        open.toList().forEach { it.close() }
    }

    /** Whether nothing more may be sent to the sender of [context]. The checker's calls are always answered. */
    fun isSilent(context: RoutingContext): Boolean =
        context.request().connection() in silent && context.normalizedPath() !in CONTROL_PATHS

    private fun accept(connection: HttpConnection) {
        open += connection
        connection.closeHandler {
            open -= connection
            silent -= connection
        }
    }

    private inner class Listener : CoroutineVerticle() {
        var boundPort: Int = 0

        override suspend fun start() {
            val router = Router.router(vertx)
            router.route().handler { if (isSilent(it)) it.request().resume() else it.next() }
            router.route().handler(BodyHandler.create(false).setBodyLimit(MAXIMUM_BODY_BYTES))
            routes(router, this)
            val server = vertx.createHttpServer().connectionHandler(::accept).requestHandler(router)
            boundPort = server.listen(port, host).coAwait().actualPort()
        }
    }

    private companion object {
        const val MAXIMUM_BODY_BYTES = 67_108_864L
        val CONTROL_PATHS = setOf("/faults", "/journal", "/journal/orders", "/calls")
    }
}

/** Answers with [value] as JSON. */
internal fun <T> RoutingContext.answer(serializer: KSerializer<T>, value: T, status: Int = HttpStatus.OK) {
    response().setStatusCode(status).putHeader("Content-Type", "application/json")
        .end(WireJson.encodeToString(serializer, value))
}

/** Reads the body, or answers 400 with the reason and returns null. */
internal fun <T> RoutingContext.readBody(serializer: KSerializer<T>): T? = try {
    WireJson.decodeFromString(serializer, body().asString().orEmpty())
} catch (cause: SerializationException) {
    response().setStatusCode(HttpStatus.BAD_REQUEST).end(cause.message)
    null
}

/** Closes the connection with no answer. */
internal fun RoutingContext.drop() {
    request().connection().close()
}

/** The statuses that the stand-ins answer with. */
internal object HttpStatus {
    const val OK: Int = 200
    const val NO_CONTENT: Int = 204
    const val BAD_REQUEST: Int = 400
    const val NOT_FOUND: Int = 404
    const val CONFLICT: Int = 409
    const val TOO_LARGE: Int = 413
    const val TOO_MANY: Int = 429
    const val UNAVAILABLE: Int = 503
    const val STORAGE_FULL: Int = 507
}
