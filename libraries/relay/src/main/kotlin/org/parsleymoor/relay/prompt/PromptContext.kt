package org.parsleymoor.relay.prompt

import org.parsleymoor.core.ModelId
import org.parsleymoor.core.OrganisationId

/** One part of a prompt that may be shared with other prompts. */
public data class PromptPart(public val id: String, public val tokens: Long)

/** What a caller states about its prompt. The last of its [parts] is specific to the request or its session. */
public data class PromptContext(
    public val model: ModelId,
    public val promptTokens: Long,
    public val outputTokens: Long,
    public val parts: List<PromptPart>,
) {
    /** The parts that other requests may have in common with this one. */
    public val sharedParts: List<PromptPart> get() = if (parts.size > 1) parts.dropLast(1) else parts

    /** The number of tokens in [sharedParts]. */
    public val sharedTokens: Long get() = sharedParts.sumOf { it.tokens }

    /** The key by which prompts with the same shared parts are placed at the same engine. */
    public val affinityKey: String get() = sharedParts.lastOrNull()?.id.orEmpty()

    public companion object {
        /** Parses `PROMPT,OUTPUT` token counts and a list of `ID:TOKENS` parts; returns null if malformed. */
        public fun parse(model: String, usage: String?, parts: String?): PromptContext? {
            val counts = usage.orEmpty().split(',').map { it.trim().toLongOrNull() }
            val parsed = parts.orEmpty().split(',').filter { it.isNotBlank() }.map(::part)
            val promptTokens = counts.first()
            if (promptTokens == null || parsed.any { it == null }) return null
            return PromptContext(ModelId(model), promptTokens, counts.getOrNull(1) ?: 0, parsed.filterNotNull())
        }

        private fun part(text: String): PromptPart? {
            val tokens = text.substringAfter(':', "").trim().toLongOrNull()?.takeIf { it >= 0 } ?: return null
            return PromptPart(text.substringBefore(':').trim(), tokens)
        }
    }
}

/** Parses the model and weight version from a namespace that [cacheNamespace] built; returns null for other text. */
public fun parseCacheNamespace(namespace: String): Pair<ModelId, Long>? {
    val fields = namespace.split('/')
    val version = fields.getOrNull(2)?.toLongOrNull()
    return if (version == null) null else ModelId(fields[1]) to version
}

/**
 * Builds the namespace of cached blocks for a prompt. Blocks of another weight version are in another namespace and
 * therefore never found, and so are blocks of another organisation when one of the two is isolated.
 */
public fun cacheNamespace(model: ModelId, version: Long, organisation: OrganisationId?, isolated: Boolean): String {
    val group = if (isolated && organisation != null) "organisation-${organisation.value}" else "shared"
    return "$group/${model.value}/$version"
}
