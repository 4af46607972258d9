package org.parsleymoor.standins

import io.vertx.core.Vertx
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.http.HttpServerResponse
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import io.vertx.ext.web.handler.BodyHandler
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.parsleymoor.clients.EngineEvent
import org.parsleymoor.clients.GenerateRequest
import org.parsleymoor.clients.WireJson
import java.util.concurrent.ConcurrentHashMap

/** A model engine that answers with [ModelText] at a set speed. */
public class EngineStandIn(private val vertx: Vertx, private val settings: EngineSettings) {
    private val scope = CoroutineScope(SupervisorJob() + vertx.dispatcher())
    private val running = ConcurrentHashMap<String, Job>()

    /** Binds the port and suspends until it accepts connections; returns the bound port. */
    public suspend fun start(): Int {
        val router = Router.router(vertx)
        router.route().handler(BodyHandler.create(false))
        router.post("/v1/generate").handler { generate(it) }
        router.delete("/v1/generate/:attempt").handler { cancel(it) }
        val server: HttpServer = vertx.createHttpServer().requestHandler(router)
        return server.listen(settings.port, settings.host).coAwait().actualPort()
    }

    private fun generate(context: RoutingContext) {
        val request = WireJson.decodeFromString(GenerateRequest.serializer(), context.body().asString())
        val response = context.response().setChunked(true).putHeader("Content-Type", "application/x-ndjson")
        val job = scope.launch { stream(request, response) }
        running[request.attempt.value] = job
        job.invokeOnCompletion { running.remove(request.attempt.value) }
        closeOnDisconnect(context.request(), job)
    }

    private fun closeOnDisconnect(request: HttpServerRequest, job: Job) {
        request.connection().closeHandler { job.cancel() }
    }

    private suspend fun stream(request: GenerateRequest, response: HttpServerResponse) {
        val pieces = request.pieces.size
        write(response, EngineEvent.Started(request.attempt, settings.startCount, request.version, 0, pieces))
        delay(pieces * settings.prefillMillisPerPiece)
        val indices = request.resumeAfterTokens until request.maximumTokens
        for (index in indices) {
            delay(settings.millisPerToken)
            val text = ModelText.token(request.model.value, request.prompt, index)
            write(response, EngineEvent.Token(request.attempt, index - request.resumeAfterTokens, text))
        }
        write(response, EngineEvent.Final(request.attempt, indices.count()))
        response.end().coAwait()
    }

    private suspend fun write(response: HttpServerResponse, event: EngineEvent) {
        response.write(WireJson.encodeToString(EngineEvent.serializer(), event) + "\n").coAwait()
    }

    private fun cancel(context: RoutingContext) {
        running.remove(context.pathParam("attempt"))?.cancel()
        context.response().setStatusCode(NO_CONTENT).end()
    }

    private companion object {
        const val NO_CONTENT = 204
    }
}
