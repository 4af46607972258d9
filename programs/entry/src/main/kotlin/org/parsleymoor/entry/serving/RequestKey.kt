package org.parsleymoor.entry.serving

import org.parsleymoor.relay.http.HeldBody
import org.parsleymoor.relay.quarantine.ContentKey
import java.nio.ByteBuffer
import java.security.MessageDigest

/**
 * Computes the key of all that an endpoint is sent of this request, apart from what differs between attempts of the
 * same caller; of a long body its length, beginning and end count. With a hash that is not cryptographic, a caller
 * could choose a body that has the key of another request.
 */
internal fun PendingRequest.computeKey(): ContentKey {
    val digest = MessageDigest.getInstance("SHA-256")
    val fields = listOf(
        service.name,
        organisation?.id?.value.orEmpty(),
        request.head.method,
        route.host,
        request.head.target,
        prompt?.model?.value.orEmpty(),
        prompt?.let { "${it.promptTokens} ${it.outputTokens}" }.orEmpty(),
        prompt?.parts.orEmpty().joinToString { "${it.id}:${it.tokens}" },
        request.body.size.toString(),
    )
    fields.map { it.encodeToByteArray() }.forEach { field ->
        // The lengths tell the same text divided otherwise apart.
        digest.update(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(field.size).array())
        digest.update(field)
    }
    digest.updateEnds(request.body)
    return ContentKey(ByteBuffer.wrap(digest.digest()).long)
}

/** Adds the first and the last [MAX_END_BYTES] of [body], all of it if it is shorter than both. */
private fun MessageDigest.updateEnds(body: HeldBody) {
    val lastFrom = body.size - MAX_END_BYTES
    var offset = 0
    body.forEachBlock { block, size ->
        val first = (MAX_END_BYTES - offset).coerceIn(0, size)
        val last = (lastFrom - offset).coerceIn(first, size)
        update(block, 0, first)
        update(block, last, size - last)
        offset += size
    }
}

// Hashing takes 15 ms for a megabyte in a daemon, whose event loop would be held up.
private const val MAX_END_BYTES = 32_768
