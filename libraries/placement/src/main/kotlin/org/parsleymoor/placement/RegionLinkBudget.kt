package org.parsleymoor.placement

/**
 * Settings of a [RegionLinkBudget]. [bytesPerSecond] is the rate of the link in one direction, [dataShare] the share of
 * it that data may use, and [burstMillis] the time over which unused rate accumulates.
 */
public data class RegionLinkSettings(
    public val bytesPerSecond: Double = 2_500_000.0,
    public val dataShare: Double = 0.9,
    public val burstMillis: Long = 200,
)

/**
 * This gateway's share of the inter-region link in one direction: the rate for data divided by the number of gateways
 * in the region. Data is sent in order of reservation. Control traffic uses the rest of the link and is not counted
 * here. Not thread-safe.
 */
public class RegionLinkBudget(private val settings: RegionLinkSettings = RegionLinkSettings()) {
    private var gateways = 1
    private var freeAtMillis = Double.NEGATIVE_INFINITY

    /** Bytes reserved since the start. */
    public var reservedBytes: Long = 0
        private set

    /** This gateway's rate in bytes a second. */
    public val bytesPerSecond: Double get() = settings.bytesPerSecond * settings.dataShare / gateways

    /** Divides the link among the gateways that the platform has [listed], or those [alive] by heartbeat if more. */
    public fun divide(listed: Int, alive: Int) {
        gateways = maxOf(1, listed, alive)
    }

    /** Returns the delay in milliseconds before the first byte of data reserved at [nowMillis] can be sent. */
    public fun waitMillis(nowMillis: Long): Double = maxOf(0.0, freeAtMillis - nowMillis)

    /** Reserves [bytes] at [nowMillis]; returns the delay in milliseconds until the last of them can be sent. */
    public fun reserve(bytes: Long, nowMillis: Long): Double {
        require(bytes >= 0) { "expected at least 0 bytes, got $bytes" }
        val start = maxOf(freeAtMillis, nowMillis - settings.burstMillis.toDouble())
        freeAtMillis = start + bytes * MILLIS_PER_SECOND / bytesPerSecond
        reservedBytes += bytes
        return maxOf(0.0, freeAtMillis - nowMillis)
    }

    /** Reserves [bytes] at [nowMillis] if all can be sent within [withinMillis]; returns whether it reserved them. */
    public fun tryReserve(bytes: Long, nowMillis: Long, withinMillis: Double): Boolean {
        val delayMillis = waitMillis(nowMillis) + bytes * MILLIS_PER_SECOND / bytesPerSecond
        if (delayMillis > withinMillis) return false
        reserve(bytes, nowMillis)
        return true
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
