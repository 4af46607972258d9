package org.parsleymoor.relay.fleet

import org.parsleymoor.relay.cache.ContextKey

/** Load that an endpoint has reported with a response, as of [atMillis]. */
public data class ReportedLoad(
    public val running: Int,
    public val waiting: Int,
    public val slots: Int,
    public val atMillis: Long,
)

/** Load of an engine as of [atMillis]: [prefilling] of the [running] have no token yet; memory is in tokens. */
public data class EngineLoad(
    public val running: Int,
    public val waiting: Int,
    public val prefilling: Int,
    public val memoryUsed: Long,
    public val memoryTotal: Long,
    public val atMillis: Long,
)

/** A prompt that an instance sent to an engine: the [tokens] it needs in memory, those to be read, its shared parts. */
public data class SentPrompt(
    public val atMillis: Long,
    public val tokens: Long,
    public val prefillTokens: Long,
    public val context: ContextKey,
)
