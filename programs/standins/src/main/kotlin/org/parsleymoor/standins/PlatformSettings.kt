package org.parsleymoor.standins

import kotlinx.serialization.Serializable
import org.parsleymoor.clients.ListedInstance

/**
 * How the object service listens, what it allows each second, and which instances it lists at first. A change of the
 * instance list shows after [instanceLagMillis]; a watch reports at least every [heartbeatMillis].
 */
@Serializable
public data class PlatformSettings(
    public val host: String = "127.0.0.1",
    public val port: Int = 0,
    public val delayMillis: Long = 1,
    public val writesPerSecond: Int = 500,
    public val readsPerSecond: Int = 2_000,
    public val maximumValueBytes: Int = 1_048_576,
    public val heartbeatMillis: Long = 500,
    public val instanceLagMillis: Long = 500,
    public val instances: List<ListedInstance> = emptyList(),
)
