package org.parsleymoor.relay.prompt

import org.parsleymoor.core.ModelId
import org.parsleymoor.core.OrganisationId

/** One part of a prompt that may be shared with other prompts. */
public data class PromptPart(public val id: String, public val tokens: Long)

/** What a caller says of its prompt: the [parts] in order; the last part belongs to the request or its session. */
public data class PromptContext(
    public val model: ModelId,
    public val promptTokens: Long,
    public val outputTokens: Long,
    public val parts: List<PromptPart>,
) {
    /** Parts that other requests may have read before. */
    public val sharedParts: List<PromptPart> get() = if (parts.size > 1) parts.dropLast(1) else parts

    /** Number of tokens of [sharedParts]. */
    public val sharedTokens: Long get() = sharedParts.sumOf { it.tokens }

    /** Key by which prompts with the same shared parts are placed together. */
    public val affinityKey: String get() = sharedParts.lastOrNull()?.id.orEmpty()

    public companion object {
        /** Reads `ID:TOKENS` parts and `PROMPT,OUTPUT` token counts; returns null when either is malformed. */
        public fun parse(model: String, usage: String?, parts: String?): PromptContext? {
            val counts = usage.orEmpty().split(',').map { it.trim().toLongOrNull() }
            val read = parts.orEmpty().split(',').filter { it.isNotBlank() }.map(::part)
            val promptTokens = counts.first()
            if (promptTokens == null || read.any { it == null }) return null
            return PromptContext(ModelId(model), promptTokens, counts.getOrNull(1) ?: 0, read.filterNotNull())
        }

        private fun part(text: String): PromptPart? {
            val tokens = text.substringAfter(':', "").trim().toLongOrNull()?.takeIf { it >= 0 } ?: return null
            return PromptPart(text.substringBefore(':').trim(), tokens)
        }
    }
}

/** Returns model and weight version of a name space that [cacheNamespace] made, or null for other text. */
public fun parseCacheNamespace(namespace: String): Pair<ModelId, Long>? {
    val fields = namespace.split('/')
    val version = fields.getOrNull(2)?.toLongOrNull()
    return if (version == null) null else ModelId(fields[1]) to version
}

/**
 * Name space of an engine's cache for a prompt. Blocks of another weight version, or of another organisation where one
 * of the two is isolated, are in another name space and cannot be found.
 */
public fun cacheNamespace(model: ModelId, version: Long, organisation: OrganisationId?, isolated: Boolean): String {
    val group = if (isolated && organisation != null) "organisation-${organisation.value}" else "shared"
    return "$group/${model.value}/$version"
}
