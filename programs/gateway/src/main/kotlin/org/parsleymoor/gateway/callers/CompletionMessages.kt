package org.parsleymoor.gateway.callers

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.MissingFieldException
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import org.parsleymoor.clients.WireJson
import org.parsleymoor.core.FailureException

/** The body of `POST /v1/chat/completions`, in the OpenAI shape; other members are accepted and not used. */
@Serializable
internal data class ChatCompletionRequest(
    val model: String,
    val messages: List<ChatMessage>,
    @SerialName("max_tokens") val maximumTokens: Int = 64,
    val stream: Boolean = false,
)

/** One message of a chat. */
@Serializable
internal data class ChatMessage(val role: String, val content: String)

/** The body of `POST /v1/completions`, in the OpenAI shape. */
@Serializable
internal data class TextCompletionRequest(
    val model: String,
    val prompt: String,
    @SerialName("max_tokens") val maximumTokens: Int = 64,
    val stream: Boolean = false,
)

/** A whole answer. */
@Serializable
internal data class Completion(
    val id: String,
    @SerialName("object") val kind: String,
    val created: Long,
    val model: String,
    val choices: List<CompletionChoice>,
    val usage: CompletionUsage? = null,
)

/** One alternative; [message] in a whole chat answer, [delta] in a streamed one, [text] in a text completion. */
@Serializable
internal data class CompletionChoice(
    val index: Int = 0,
    val message: ChatMessage? = null,
    val delta: ChatDelta? = null,
    val text: String? = null,
    @SerialName("finish_reason") val finishReason: String? = null,
)

/** The text that a streamed event adds. */
@Serializable
internal data class ChatDelta(val content: String = "")

/** Number of tokens of the answer. */
@Serializable
internal data class CompletionUsage(@SerialName("completion_tokens") val completionTokens: Int)

/** The answer of `GET /v1/models`. */
@Serializable
internal data class ModelList(@SerialName("object") val kind: String = "list", val data: List<ListedModel>)

/** A model that the caller may request. */
@Serializable
internal data class ListedModel(
    val id: String,
    @SerialName("object") val kind: String = "model",
    @SerialName("owned_by") val owner: String = "parsleymoor",
    val version: String,
)

/** The answer of `POST /tickets`. */
@Serializable
internal data class IssuedTicket(val ticket: String)

/** Decodes a request body; fails with a [Refusal] that says what was expected. */
@OptIn(ExperimentalSerializationApi::class)
internal fun <T> decodeBody(serializer: KSerializer<T>, text: String): T = try {
    WireJson.decodeFromString(serializer, text)
} catch (cause: MissingFieldException) {
    throw FailureException(Refusal(RefusalKind.INVALID_REQUEST, firstLine(cause)), cause)
} catch (cause: SerializationException) {
    throw FailureException(Refusal(RefusalKind.MALFORMED_JSON, firstLine(cause)), cause)
}

private fun firstLine(cause: Exception): String = cause.message.orEmpty().lineSequence().first()
