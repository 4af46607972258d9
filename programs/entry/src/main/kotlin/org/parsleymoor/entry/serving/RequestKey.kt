package org.parsleymoor.entry.serving

import org.parsleymoor.relay.quarantine.ContentKey
import java.nio.ByteBuffer
import java.security.MessageDigest

/**
 * Computes the key of all that an endpoint is sent of this request, apart from what differs between attempts of the
 * same caller. With a hash that is not cryptographic, a caller could choose a body that has the key of another request.
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
    )
    fields.map { it.encodeToByteArray() }.forEach { field ->
        // The lengths tell the same text divided otherwise apart.
        digest.update(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(field.size).array())
        digest.update(field)
    }
    request.body.forEachBlock { block, size -> digest.update(block, 0, size) }
    return ContentKey(ByteBuffer.wrap(digest.digest()).long)
}
