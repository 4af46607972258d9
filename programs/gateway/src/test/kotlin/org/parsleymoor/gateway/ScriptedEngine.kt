package org.parsleymoor.gateway

import io.vertx.core.Vertx
import io.vertx.core.http.HttpServerResponse
import io.vertx.ext.web.Router
import io.vertx.ext.web.handler.BodyHandler
import io.vertx.kotlin.coroutines.coAwait
import org.parsleymoor.clients.EngineEvent
import org.parsleymoor.clients.EngineRefusal
import org.parsleymoor.clients.EngineRefusalReason
import org.parsleymoor.clients.GenerateRequest
import org.parsleymoor.clients.WireJson
import org.parsleymoor.core.AttemptId
import java.util.concurrent.CopyOnWriteArrayList

/** An engine that does what a test says with each request. */
internal class ScriptedEngine(
    private val vertx: Vertx,
    private val script: (GenerateRequest, HttpServerResponse) -> Unit,
) {
    val requests = CopyOnWriteArrayList<GenerateRequest>()
    val cancelled = CopyOnWriteArrayList<String>()
    val traceParents = CopyOnWriteArrayList<String>()

    suspend fun start(): Int {
        val router = Router.router(vertx)
        router.route().handler(BodyHandler.create(false))
        router.post("/v1/generate").handler {
            val request = WireJson.decodeFromString(GenerateRequest.serializer(), it.body().asString())
            requests += request
            traceParents += it.request().getHeader("traceparent").orEmpty()
            it.response().exceptionHandler { }
            script(request, it.response())
        }
        router.delete("/v1/generate/:attempt").handler {
            cancelled += it.pathParam("attempt")
            it.response().setStatusCode(NO_CONTENT).end()
        }
        return vertx.createHttpServer().requestHandler(router).listen(0, "127.0.0.1").coAwait().actualPort()
    }

    companion object {
        private const val NO_CONTENT = 204
        private const val UNAVAILABLE = 503

        fun HttpServerResponse.begin(request: GenerateRequest): HttpServerResponse = apply {
            setChunked(true)
            event(EngineEvent.Started(request.attempt, 1, request.version, 0, request.pieces.size))
        }

        fun HttpServerResponse.token(attempt: AttemptId, sequence: Int, text: String): HttpServerResponse =
            event(EngineEvent.Token(attempt, sequence, text))

        fun HttpServerResponse.finish(attempt: AttemptId, tokens: Int) {
            event(EngineEvent.Final(attempt, tokens)).end()
        }

        /** Answers with the tokens of [text] that the caller does not have yet. */
        fun HttpServerResponse.answer(request: GenerateRequest, text: List<String>) {
            begin(request)
            val rest = text.drop(request.resumeAfterTokens)
            rest.forEachIndexed { index, token -> token(request.attempt, index, token) }
            finish(request.attempt, rest.size)
        }

        fun HttpServerResponse.refuse(reason: EngineRefusalReason) {
            setStatusCode(UNAVAILABLE)
                .end(WireJson.encodeToString(EngineRefusal.serializer(), EngineRefusal(reason, "scripted")))
        }

        private fun HttpServerResponse.event(event: EngineEvent): HttpServerResponse = apply {
            write(WireJson.encodeToString(EngineEvent.serializer(), event) + "\n")
        }
    }
}
