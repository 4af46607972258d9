package org.parsleymoor.gateway.callers

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import org.parsleymoor.clients.WireJson
import org.parsleymoor.configuration.ModelDeclaration
import org.parsleymoor.context.ContextScope
import org.parsleymoor.context.PromptHashes
import org.parsleymoor.gateway.serving.CompletionCall
import org.parsleymoor.gateway.serving.CompletionRunner
import org.parsleymoor.gateway.serving.RequestContext

/** Serves completions and the list of models. */
internal class CompletionRoutes(private val runner: CompletionRunner, private val senderMillis: Long) {
    /** `POST /v1/chat/completions`. */
    suspend fun chat(call: CallerCall) {
        val body = decodeBody(ChatCompletionRequest.serializer(), readText(call))
        if (body.messages.isEmpty()) throw invalid("expected at least one message, found none")
        val prompt = body.messages.joinToString("\n") { "${it.role}: ${it.content}" }
        run(call, Wanted(body.model, prompt, body.maximumTokens, body.stream, AnswerForm.Chat))
    }

    /** `POST /v1/completions`. */
    suspend fun text(call: CallerCall) {
        val body = decodeBody(TextCompletionRequest.serializer(), readText(call))
        run(call, Wanted(body.model, body.prompt, body.maximumTokens, body.stream, AnswerForm.Text))
    }

    /** `GET /v1/models`. */
    suspend fun models(call: CallerCall) {
        val models = call.view.configuration.models.map { ListedModel(it.name.value, version = it.version.value) }
        call.answer(WireJson.encodeToString(ModelList.serializer(), ModelList(data = models)))
    }

    private suspend fun readText(call: CallerCall): String =
        call.http.readBody(call.view.configuration.limits.maximumBodyBytes, senderMillis).decodeText()

    private suspend fun run(call: CallerCall, wanted: Wanted) {
        if (wanted.maximumTokens !in TOKENS) {
            throw invalid(
                "expected max_tokens in $TOKENS, found ${wanted.maximumTokens}"
            )
        }
        val model = call.view.model(wanted.model)
            ?: throw Refusal(RefusalKind.UNKNOWN_MODEL, "found \"${wanted.model.take(SHOWN)}\"").toException()
        val head = AnswerHead(call.request.value, call.receivedMillis / MILLIS_PER_SECOND, wanted.model)
        val sink = if (wanted.stream) EventSink(call, wanted.form, head) else WholeSink(call, wanted.form, head)
        runner.run(completion(call, model, wanted), sink)
    }

    private suspend fun completion(call: CallerCall, model: ModelDeclaration, wanted: Wanted): CompletionCall {
        val scope = ContextScope(call.organisation.name, model.name, model.version)
        val context = if (wanted.prompt.length < LONG_PROMPT) {
            PromptHashes.of(scope, wanted.prompt)
        } else {
            withContext(Dispatchers.Default) { PromptHashes.of(scope, wanted.prompt) }
        }
        return CompletionCall(
            requestContext = RequestContext(call.request, call.organisation, call.receivedMillis, call.span),
            model = model,
            prompt = wanted.prompt,
            promptHashes = context,
            maximumTokens = wanted.maximumTokens,
            limits = call.view.configuration.limits,
        )
    }

    private fun invalid(detail: String) = Refusal(RefusalKind.INVALID_REQUEST, detail).toException()

    private class Wanted(
        val model: String,
        val prompt: String,
        val maximumTokens: Int,
        val stream: Boolean,
        val form: AnswerForm,
    )

    private companion object {
        val TOKENS = 1..1_000_000
        const val SHOWN = 100
        const val MILLIS_PER_SECOND = 1_000L

        // Hashing a longer prompt would hold up the other requests of the event loop.
        const val LONG_PROMPT = 64_000
    }
}
