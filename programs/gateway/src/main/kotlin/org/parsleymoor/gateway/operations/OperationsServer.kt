package org.parsleymoor.gateway.operations

import com.github.michaelbull.result.mapBoth
import io.vertx.core.Vertx
import io.vertx.core.http.HttpServer
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import io.vertx.ext.web.handler.BodyHandler
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import org.parsleymoor.clients.ConfigurationInEffect
import org.parsleymoor.clients.ConfigurationOffer
import org.parsleymoor.clients.GatewayStatus
import org.parsleymoor.clients.RequestHistory
import org.parsleymoor.clients.WireJson
import org.parsleymoor.core.RequestId
import org.parsleymoor.gateway.ConfigurationHolder
import org.parsleymoor.gateway.ListenSettings
import org.parsleymoor.gateway.callers.Refusal
import org.parsleymoor.gateway.callers.RefusalKind
import org.parsleymoor.gateway.callers.refuse
import org.parsleymoor.gateway.serving.Telemetry
import java.util.UUID

/** The operators' HTTP server: health, readiness, metrics, status, configuration and records of requests. */
internal class OperationsServer(
    private val vertx: Vertx,
    private val settings: ListenSettings,
    private val configuration: ConfigurationHolder,
    private val telemetry: Telemetry,
    private val status: () -> GatewayStatus,
) {
    private var server: HttpServer? = null

    /** Suspends until connections are accepted; returns the bound port. */
    suspend fun start(): Int {
        val router = Router.router(vertx)
        router.get("/health").handler { it.response().end("up\n") }
        router.get("/ready").handler { ready(it) }
        router.get("/metrics").handler { scrape(it) }
        router.get("/status").handler { it.answer(GatewayStatus.serializer(), status()) }
        router.get("/requests/:id").handler { history(it) }
        router.post("/configuration").handler(BodyHandler.create(false).setBodyLimit(MAXIMUM_OFFER_BYTES))
            .handler { offer(it) }
        val started = vertx.createHttpServer().requestHandler(router).listen(settings.port, settings.host).coAwait()
        server = started
        return started.actualPort()
    }

    suspend fun close() {
        server?.close()?.coAwait()
    }

    private fun ready(context: RoutingContext) {
        val current = status()
        val code = if (current.ready) OK else UNAVAILABLE
        context.response().setStatusCode(code).end(if (current.ready) "ready\n" else "not ready\n")
    }

    private fun scrape(context: RoutingContext) {
        context.response().putHeader(
            "Content-Type",
            "text/plain; version=0.0.4; charset=utf-8"
        ).end(telemetry.metrics.scrape())
    }

    private fun history(context: RoutingContext) {
        context.answer(RequestHistory.serializer(), telemetry.records.history(RequestId(context.pathParam("id"))))
    }

    private fun offer(context: RoutingContext) {
        val offer = decode(context)
        if (offer == null) {
            context.refuse("expected a root and its sections")
            return
        }
        configuration.offer(offer).mapBoth(
            { context.answer(ConfigurationInEffect.serializer(), ConfigurationInEffect(status().instance, it)) },
            { context.refuse(it.message) },
        )
    }

    private fun decode(context: RoutingContext): ConfigurationOffer? = try {
        WireJson.decodeFromString(ConfigurationOffer.serializer(), context.body().asString().orEmpty())
    } catch (_: SerializationException) {
        null
    }

    private fun RoutingContext.refuse(detail: String) {
        response().refuse(Refusal(RefusalKind.INVALID_REQUEST, detail), RequestId(UUID.randomUUID().toString()))
    }

    private fun <T> RoutingContext.answer(serializer: KSerializer<T>, value: T) {
        response().putHeader("Content-Type", "application/json").end(WireJson.encodeToString(serializer, value))
    }

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503
        const val MAXIMUM_OFFER_BYTES = 67_108_864L
    }
}
