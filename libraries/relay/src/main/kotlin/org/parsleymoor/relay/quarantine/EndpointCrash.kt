package org.parsleymoor.relay.quarantine

import org.parsleymoor.relay.cache.EngineIncarnation

/**
 * A request that an endpoint had not answered when its connection ended. [parts] are the prompt parts that it may share
 * with others, empty for a request without prompt or if the response had gone on after it began; [request] is the key
 * of the whole request, null if a peer of the build before does not tell it. [sentMillis] is when it was sent, and
 * [responding] says whether the response to a prompt had begun: its head had arrived, but no event.
 */
public data class UnansweredRequest(
    public val parts: Set<ContentKey>,
    public val sentMillis: Long,
    public val responding: Boolean,
    public val request: ContentKey? = null,
) {
    /** All that this request may have in common with others. */
    internal val keys: Set<ContentKey> get() = if (request == null) parts else parts + request
}

/** The connection that carried [request] to [endpoint], which ran [release], ended at [atMillis]. */
public data class EndpointCrash(
    public val endpoint: EngineIncarnation,
    public val atMillis: Long,
    public val request: UnansweredRequest,
    public val release: String? = null,
)
