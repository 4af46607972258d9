package org.parsleymoor.coordination

/**
 * Times of a [ConfigurationSync] in milliseconds. A new instance waits up to [startMillis] for the platform and its
 * peers before it takes the highest revision that it was offered. What is missing is asked for again every
 * [requestIntervalMillis]. A watch that is silent for [watchSilenceMillis] is replaced. [watchersPerZone] gateways of a
 * zone watch; the others read the root every [fallbackReadMillis] in case both watchers are lost unnoticed.
 */
public data class SyncSettings(
    public val startMillis: Long = 2_000,
    public val requestIntervalMillis: Long = 500,
    public val watchSilenceMillis: Long = 3_000,
    public val watchersPerZone: Int = 2,
    public val fallbackReadMillis: Long = 60_000,
)
