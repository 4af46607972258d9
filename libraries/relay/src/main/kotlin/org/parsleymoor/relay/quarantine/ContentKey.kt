package org.parsleymoor.relay.quarantine

import org.parsleymoor.core.stableHash
import org.parsleymoor.relay.prompt.PromptContext
import java.util.HexFormat

/**
 * Identifies what requests may have in common, a prompt part of a model or all that an endpoint is sent of a request,
 * by a 64-bit hash, which peers exchange.
 */
@JvmInline
public value class ContentKey(public val hash: Long) {
    override fun toString(): String = HexFormat.of().toHexDigits(hash)
}

/**
 * The keys of the parts that this prompt may share with others, which exclude its last part. Of a prompt with very many
 * parts these are the first.
 */
public val PromptContext.sharedPartKeys: Set<ContentKey>
    get() = parts.dropLast(1).take(MAX_PARTS).map { partKey(it.id) }.toSet()

/** Returns the id of the part with [key] in this prompt, or null without one. */
public fun PromptContext.partId(key: ContentKey): String? = parts.firstOrNull { partKey(it.id) == key }?.id

private fun PromptContext.partKey(id: String) = ContentKey("${model.value} $id".stableHash())

// Prompts have fewer than ten parts; the limit bounds what a caller can make this instance remember.
private const val MAX_PARTS = 32
