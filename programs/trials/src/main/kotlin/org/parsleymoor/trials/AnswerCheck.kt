package org.parsleymoor.trials

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.parsleymoor.clients.WireJson
import org.parsleymoor.core.sha256Hex
import org.parsleymoor.standins.ServiceReceipt

/** Returns the text of a whole completion. */
internal fun WebAnswer.wholeText(): String = choiceText(WireJson.parseToJsonElement(body))

/** Returns the text of a streamed completion, or the empty text when the end marker is missing. */
internal fun WebAnswer.streamedText(): String {
    if (!body.trimEnd().endsWith("[DONE]")) return ""
    return body.lineSequence().filter { it.startsWith(EVENT) }
        .joinToString("") { choiceText(WireJson.parseToJsonElement(it.removePrefix("data: "))) }
}

/** Whether the answer is the receipt of a plain service for [sent] at [path]. */
internal fun WebAnswer.isReceipt(path: String, sent: String): Boolean {
    val receipt = WireJson.decodeFromString(ServiceReceipt.serializer(), body)
    return receipt.path == path && receipt.bodyDigest == sent.toByteArray().sha256Hex()
}

/** The string member [name] of the answer, empty when it is missing. */
internal fun WebAnswer.member(name: String): String =
    (WireJson.parseToJsonElement(body) as? JsonObject)?.get(name)?.jsonPrimitive?.content.orEmpty()

private fun choiceText(event: JsonElement): String = event.jsonObject["choices"]?.jsonArray?.firstOrNull()
    ?.jsonObject?.get("text")?.jsonPrimitive?.takeIf { it.isString }?.content.orEmpty()

private const val EVENT = "data: {"
