package org.parsleymoor.coordination

/**
 * Times of a [ConfigurationSpread] in milliseconds. A new instance waits up to [startMillis] for the platform and its
 * peers before it takes the highest revision that it was offered. What is missing is asked for again every
 * [askMillis]. A watch that is silent for [watchSilenceMillis] is replaced. [watchersPerZone] gateways of a zone watch;
 * the others read the root every [backstopMillis] in case both watchers are lost unnoticed.
 */
public data class SpreadSettings(
    public val startMillis: Long = 2_000,
    public val askMillis: Long = 500,
    public val watchSilenceMillis: Long = 3_000,
    public val watchersPerZone: Int = 2,
    public val backstopMillis: Long = 60_000,
)
