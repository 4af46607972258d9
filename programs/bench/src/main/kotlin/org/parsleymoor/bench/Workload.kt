package org.parsleymoor.bench

import kotlinx.serialization.Serializable

/** Every figure of a simulated deployment. Rates are per second, sizes bytes, times in the unit of the name. */
@Serializable
public data class Workload(
    public val name: String,
    public val warmUpHours: Double,
    public val measuredHours: Double,
    public val places: Places,
    public val engines: EngineFigures,
    public val stores: StoreFigures,
    public val links: LinkFigures,
    public val reports: ReportFigures,
    public val traffic: Traffic,
    public val organisations: List<OrganisationFigures>,
    public val zoneOut: ZoneOut,
) {
    /** When the measured part begins, in milliseconds. */
    public val measuredFromMillis: Double get() = warmUpHours * MILLIS_PER_HOUR

    /** When the last request may arrive, in milliseconds. */
    public val endMillis: Double get() = (warmUpHours + measuredHours) * MILLIS_PER_HOUR
}

/** One entry for each availability zone, in the same order in every list. */
@Serializable
public data class Places(
    public val zones: List<String>,
    public val regions: List<String>,
    public val engines: List<Int>,
    public val gateways: List<Int>,
    public val stores: List<Int>,
)

/** What one engine can do. [cachePieces] is its memory for KV cache. */
@Serializable
public data class EngineFigures(
    public val prefillTokensPerSecond: Double,
    public val cachePieces: Int,
    public val concurrent: Int,
    public val millisPerToken: Double,
    public val coldFactor: Double,
)

/** What one store can hold, and the rates of its outgoing link and its disk. */
@Serializable
public data class StoreFigures(
    public val memoryPieces: Int,
    public val diskPieces: Int,
    public val memoryBytesPerSecond: Double,
    public val diskBytesPerSecond: Double,
    public val blockBytes: Long,
)

/** Delays are one way. [textCachePieces] is the text that the gateways of one region keep for the other. */
@Serializable
public data class LinkFigures(
    public val zoneMillis: Double,
    public val regionMillis: Double,
    public val clientMillis: Double,
    public val regionBytesPerSecond: Double,
    public val textCachePieces: Int,
    public val bytesPerToken: Int,
)

/** How late and how incomplete a gateway's information is. */
@Serializable
public data class ReportFigures(
    public val loadIntervalMillis: Double,
    public val loadLagMillis: Double,
    public val cacheIntervalMillis: Double,
    public val cacheLagMillis: Double,
    public val digestLagMillis: Double,
    public val lostShare: Double,
)

/** When sessions start. A share [backgroundShare] of them starts at any time of the day. */
@Serializable
public data class Traffic(
    public val burstHours: List<Double>,
    public val burstMinutes: Double,
    public val jitterMinutes: Double,
    public val requestsPerSession: Double,
    public val thinkMillis: Double,
    public val remainderTokens: Int,
    public val outputTokens: Int,
    public val deadlineMillis: Double,
)

/**
 * One organisation. Its contexts share the first [sharedPieces]; lengths are drawn log-uniformly and grow. Of the
 * contexts, a share [returnShare] takes part in each burst; [oneOffsPerBurst] contexts come once and never again.
 */
@Serializable
public data class OrganisationFigures(
    public val name: String,
    public val contexts: Int,
    public val shortestPieces: Int,
    public val longestPieces: Int,
    public val sharedPieces: Int,
    public val growthPerSession: Double,
    public val returnShare: Double,
    public val oneOffsPerBurst: Int,
    public val callerRegions: List<String>,
    public val engineRegions: List<String>,
    public val weight: Int,
)

/** An availability zone that leaves and comes back; it takes part in a run only when that is asked for. */
@Serializable
public data class ZoneOut(
    public val zone: String,
    public val atHours: Double,
    public val minutes: Double,
)

internal const val MILLIS_PER_HOUR = 3_600_000.0
internal const val MILLIS_PER_MINUTE = 60_000.0
internal const val MILLIS_PER_SECOND = 1_000.0
