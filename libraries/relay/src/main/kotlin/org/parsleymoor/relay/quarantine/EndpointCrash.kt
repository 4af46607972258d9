package org.parsleymoor.relay.quarantine

import org.parsleymoor.relay.cache.EngineIncarnation

/**
 * A prompt that an endpoint had not answered when its connection ended. [parts] are the parts that it may share with
 * other prompts, [sentMillis] is when it was sent, and [responding] says whether the response had begun: its head had
 * arrived, but no event.
 */
public data class UnansweredRequest(
    public val parts: Set<ContentKey>,
    public val sentMillis: Long,
    public val responding: Boolean,
)

/** The connection that carried [prompt] to [endpoint] ended at [atMillis]. */
public data class EndpointCrash(
    public val endpoint: EngineIncarnation,
    public val atMillis: Long,
    public val prompt: UnansweredRequest,
)
