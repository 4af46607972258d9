package org.parsleymoor.gateway.callers

import io.vertx.kotlin.coroutines.coAwait
import org.parsleymoor.gateway.serving.CompletionSink

/** Collects the answer and sends it whole. */
internal class WholeSink(
    private val call: CallerCall,
    private val form: AnswerForm,
    private val head: AnswerHead,
) : CompletionSink {
    private val text = StringBuilder()

    override suspend fun text(text: String) {
        this.text.append(text)
    }

    override suspend fun complete(finishReason: String, tokens: Int) {
        call.answer(form.whole(head, text.toString(), finishReason, tokens))
    }
}

/** Sends the answer as server-sent events; the head goes out with the first text, so that a refusal can precede it. */
internal class EventSink(
    private val call: CallerCall,
    private val form: AnswerForm,
    private val head: AnswerHead,
) : CompletionSink {
    override suspend fun text(text: String) {
        send("data: ${form.chunk(head, text, null)}\n\n")
    }

    override suspend fun complete(finishReason: String, tokens: Int) {
        send("data: ${form.chunk(head, "", finishReason)}\n\n")
        orGone { call.response.end("data: [DONE]\n\n").coAwait() }
    }

    private suspend fun send(event: String) {
        val response = call.response
        if (!response.headWritten()) {
            response.setChunked(true).putHeader("Content-Type", "text/event-stream")
                .putHeader("Cache-Control", "no-store").putHeader("X-Request-Id", call.request.value)
        }
        orGone { response.write(event).coAwait() }
    }
}
