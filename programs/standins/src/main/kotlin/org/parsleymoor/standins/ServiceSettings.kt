package org.parsleymoor.standins

import kotlinx.serialization.Serializable
import org.parsleymoor.core.EndpointId

/** How a plain service listens, how long a call takes, and where its journal is kept across a kill. */
public data class ServiceSettings(
    public val endpoint: EndpointId,
    public val host: String = "127.0.0.1",
    public val port: Int = 0,
    public val delayMillis: Long = 5,
    public val journalFile: String = "",
)

/**
 * The faults of a plain service; a later value replaces an earlier one whole. The next [crashesAfterEffect] calls take
 * effect and all connections close with no answer; the next [crashesBeforeEffect] calls close them with no effect.
 * [delayMillis] is added to each call. The next [refusals] calls are refused with `not_run`. [silenceOpenConnections]
 * makes every open connection stay open and answer nothing more.
 */
@Serializable
public data class ServiceFaults(
    public val crashesAfterEffect: Int = 0,
    public val crashesBeforeEffect: Int = 0,
    public val delayMillis: Long = 0,
    public val refusals: Int = 0,
    public val silenceOpenConnections: Boolean = false,
)

/** One call that took effect at a plain service, at [atMillis] since the epoch; [key] is its idempotency key. */
@Serializable
public data class ServiceEffect(
    public val number: Long,
    public val endpoint: EndpointId,
    public val method: String,
    public val path: String,
    public val key: String,
    public val bodyDigest: String,
    public val arrivedAtMillis: Long,
    public val atMillis: Long,
)
