package org.parsleymoor.gateway

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The body of `POST /v1/chat/completions`, in the OpenAI shape. */
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

/** A whole answer. */
@Serializable
internal data class ChatCompletion(
    val id: String,
    @SerialName("object") val kind: String = "chat.completion",
    val model: String,
    val choices: List<ChatChoice>,
)

/** One alternative of a whole answer. */
@Serializable
internal data class ChatChoice(
    val index: Int = 0,
    val message: ChatMessage,
    @SerialName("finish_reason") val finishReason: String,
)

/** One server-sent event of a streamed answer. */
@Serializable
internal data class ChatCompletionChunk(
    val id: String,
    @SerialName("object") val kind: String = "chat.completion.chunk",
    val model: String,
    val choices: List<ChatChunkChoice>,
)

/** One alternative of a streamed answer. */
@Serializable
internal data class ChatChunkChoice(
    val index: Int = 0,
    val delta: ChatDelta,
    @SerialName("finish_reason") val finishReason: String? = null,
)

/** The text that a streamed event adds. */
@Serializable
internal data class ChatDelta(val content: String = "")
