package org.parsleymoor.gateway

import io.vertx.core.http.HttpServerResponse
import io.vertx.ext.web.RoutingContext
import io.vertx.kotlin.coroutines.coAwait
import org.parsleymoor.clients.EngineClient
import org.parsleymoor.clients.EngineEvent
import org.parsleymoor.clients.GenerateRequest
import org.parsleymoor.clients.WireJson
import org.parsleymoor.core.AttemptId
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.OrganisationId
import org.parsleymoor.core.RequestId
import org.parsleymoor.core.WeightVersion
import java.util.UUID

/** Serves `POST /v1/chat/completions` from one engine, whole or as server-sent events. */
internal class ChatCompletionHandler(private val engine: EngineClient) {
    suspend fun handle(context: RoutingContext) {
        val body = context.body().asString()
        val request = WireJson.decodeFromString(ChatCompletionRequest.serializer(), body)
        val id = UUID.randomUUID().toString()
        val generate = GenerateRequest(
            request = RequestId(id),
            attempt = AttemptId("$id.0"),
            organisation = OrganisationId("none"),
            model = ModelId(request.model),
            version = WeightVersion("1"),
            prompt = request.messages.joinToString("\n") { "${it.role}: ${it.content}" },
            maximumTokens = request.maximumTokens,
        )
        if (request.stream) stream(context.response(), generate) else whole(context.response(), generate)
    }

    private suspend fun whole(response: HttpServerResponse, request: GenerateRequest) {
        val text = StringBuilder()
        engine.generate(request).collect { if (it is EngineEvent.Token) text.append(it.text) }
        val choice = ChatChoice(message = ChatMessage("assistant", text.toString()), finishReason = "stop")
        val completion = ChatCompletion(request.request.value, model = request.model.value, choices = listOf(choice))
        response.putHeader("Content-Type", "application/json")
            .end(WireJson.encodeToString(ChatCompletion.serializer(), completion)).coAwait()
    }

    private suspend fun stream(response: HttpServerResponse, request: GenerateRequest) {
        response.setChunked(true).putHeader("Content-Type", "text/event-stream")
        engine.generate(request).collect { event ->
            when (event) {
                is EngineEvent.Started -> Unit
                is EngineEvent.Token -> write(response, request, ChatDelta(event.text), null)
                is EngineEvent.Final -> write(response, request, ChatDelta(), event.reason)
            }
        }
        response.end("data: [DONE]\n\n").coAwait()
    }

    private suspend fun write(
        response: HttpServerResponse,
        request: GenerateRequest,
        delta: ChatDelta,
        finishReason: String?,
    ) {
        val choice = ChatChunkChoice(delta = delta, finishReason = finishReason)
        val chunk = ChatCompletionChunk(request.request.value, model = request.model.value, choices = listOf(choice))
        response.write("data: ${WireJson.encodeToString(ChatCompletionChunk.serializer(), chunk)}\n\n").coAwait()
    }
}
