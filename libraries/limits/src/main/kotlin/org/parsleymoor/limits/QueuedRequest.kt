package org.parsleymoor.limits

import org.parsleymoor.core.OrganisationId
import org.parsleymoor.core.RequestId

/**
 * A request that waits for an engine. [tokens] is its estimated work; [weight] is the organisation's share; a higher
 * [priority] goes first; the request is dropped, not run, when it still waits at [deadlineMillis].
 */
public data class QueuedRequest(
    public val request: RequestId,
    public val organisation: OrganisationId,
    public val tokens: Long,
    public val deadlineMillis: Long,
    public val weight: Int = 1,
    public val priority: Int = 0,
)
