package org.parsleymoor.coordination

/**
 * Limits and times of a [ConfigurationSync]. A new instance waits up to [startMillis] for the platform and its peers
 * before it applies the highest revision that it was offered. Missing parts are requested again every
 * [requestIntervalMillis]. A watch that is silent for [watchSilenceMillis] is replaced. [watchersPerZone] gateways of a
 * zone watch the root; the others read it every [fallbackReadMillis], in case all watchers of the zone fail unnoticed.
 */
public data class SyncSettings(
    public val startMillis: Long = 2_000,
    public val requestIntervalMillis: Long = 500,
    public val watchSilenceMillis: Long = 3_000,
    public val watchersPerZone: Int = 2,
    public val fallbackReadMillis: Long = 60_000,
)
