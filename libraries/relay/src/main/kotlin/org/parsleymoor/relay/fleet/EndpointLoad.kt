package org.parsleymoor.relay.fleet

import org.parsleymoor.relay.cache.ContextKey

/**
 * Load that an endpoint reported in the headers of a response that arrived at [atMillis]. [pacePercent] states how long
 * work takes on its machine at that moment, in percent of the usual, or is null if the endpoint does not say.
 */
public data class ReportedLoad(
    public val running: Int,
    public val waiting: Int,
    public val slots: Int,
    public val atMillis: Long,
    public val pacePercent: Int? = null,
) {
    /** How many times the duration of a run a request took that found this load: it waits for others, then runs. */
    public val expectedRuns: Double get() = 1 + waiting.coerceAtLeast(0).toDouble() / slots.coerceAtLeast(1)
}

/**
 * Load of an engine at [atMillis]. [prefilling] of the [running] requests have produced no token yet; memory is counted
 * in tokens. [pacePercent] is that of the endpoint's [ReportedLoad].
 */
public data class EngineLoad(
    public val running: Int,
    public val waiting: Int,
    public val prefilling: Int,
    public val memoryUsed: Long,
    public val memoryTotal: Long,
    public val atMillis: Long,
    public val pacePercent: Int? = null,
)

/**
 * A prompt that an instance sent to an engine. It needs [tokens] of memory, and [prefillTokens] of them have to be
 * computed; [context] identifies its shared parts.
 */
public data class SentPrompt(
    public val atMillis: Long,
    public val tokens: Long,
    public val prefillTokens: Long,
    public val context: ContextKey,
)
