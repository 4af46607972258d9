package org.parsleymoor.gateway.callers

import org.parsleymoor.clients.WireJson

/** The JSON form of the answers of one route. */
internal sealed class AnswerForm(private val wholeKind: String, private val chunkKind: String) {
    protected abstract fun wholeChoice(text: String, reason: String): CompletionChoice

    protected abstract fun chunkChoice(text: String, reason: String?): CompletionChoice

    /** Returns a whole answer. */
    fun whole(head: AnswerHead, text: String, reason: String, tokens: Int): String =
        encode(head, wholeKind, wholeChoice(text, reason), CompletionUsage(tokens))

    /** Returns the data of one server-sent event. */
    fun chunk(head: AnswerHead, text: String, reason: String?): String =
        encode(head, chunkKind, chunkChoice(text, reason), null)

    private fun encode(head: AnswerHead, kind: String, choice: CompletionChoice, usage: CompletionUsage?): String {
        val completion = Completion(head.id, kind, head.createdSeconds, head.model, listOf(choice), usage)
        return WireJson.encodeToString(Completion.serializer(), completion)
    }

    /** Answers of `POST /v1/chat/completions`. */
    data object Chat : AnswerForm("chat.completion", "chat.completion.chunk") {
        override fun wholeChoice(text: String, reason: String) =
            CompletionChoice(message = ChatMessage("assistant", text), finishReason = reason)

        override fun chunkChoice(text: String, reason: String?) =
            CompletionChoice(delta = ChatDelta(text), finishReason = reason)
    }

    /** Answers of `POST /v1/completions`. */
    data object Text : AnswerForm("text_completion", "text_completion") {
        override fun wholeChoice(text: String, reason: String) = CompletionChoice(text = text, finishReason = reason)

        override fun chunkChoice(text: String, reason: String?) = CompletionChoice(text = text, finishReason = reason)
    }
}

/** What all parts of an answer repeat. */
internal data class AnswerHead(val id: String, val createdSeconds: Long, val model: String)
