package org.parsleymoor.limits

import org.parsleymoor.core.OrganisationId
import org.parsleymoor.core.RequestId

/**
 * A request that waits for an engine. [tokens] is its estimated work and [weight] the share of its organisation.
 * Requests of higher [priority] are served first. A request still waiting at [deadlineMillis] is dropped and never run.
 */
public data class QueuedRequest(
    public val request: RequestId,
    public val organisation: OrganisationId,
    public val tokens: Long,
    public val deadlineMillis: Long,
    public val weight: Int = 1,
    public val priority: Int = 0,
)
