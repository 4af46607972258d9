package org.parsleymoor.placement

/** How a gateway's share of the inter-region link is computed. Rates are bytes a second in one direction. */
public data class RegionLinkSettings(
    public val bytesPerSecond: Double = 2_500_000.0,
    public val dataShare: Double = 0.9,
    public val burstMillis: Long = 200,
)

/**
 * This gateway's share of the inter-region link in one direction: rate x 0.9 / gateways of the region. Data is sent in
 * order of reservation; control traffic has the rest of the link and is not counted here. Not safe for use from several
 * threads.
 */
public class RegionLinkBudget(private val settings: RegionLinkSettings = RegionLinkSettings()) {
    private var gateways = 1
    private var freeAtMillis = Double.NEGATIVE_INFINITY

    /** Bytes reserved since the start. */
    public var reservedBytes: Long = 0
        private set

    /** This gateway's rate in bytes a second. */
    public val bytesPerSecond: Double get() = settings.bytesPerSecond * settings.dataShare / gateways

    /** Divides the link over [listed] gateways of the platform's list or [alive] of the heartbeats, if that is more. */
    public fun divide(listed: Int, alive: Int) {
        gateways = maxOf(1, listed, alive)
    }

    /** Returns how long data reserved at [nowMillis] would wait before its first byte, in milliseconds. */
    public fun waitMillis(nowMillis: Long): Double = maxOf(0.0, freeAtMillis - nowMillis)

    /** Reserves [bytes] at [nowMillis]; returns when the last of them may be sent, in milliseconds from now. */
    public fun reserve(bytes: Long, nowMillis: Long): Double {
        require(bytes >= 0) { "expected at least 0 bytes, got $bytes" }
        val start = maxOf(freeAtMillis, nowMillis - settings.burstMillis.toDouble())
        freeAtMillis = start + bytes * MILLIS_PER_SECOND / bytesPerSecond
        reservedBytes += bytes
        return maxOf(0.0, freeAtMillis - nowMillis)
    }

    /** Reserves [bytes] at [nowMillis] if they can be sent within [withinMillis]; returns whether they were. */
    public fun tryReserve(bytes: Long, nowMillis: Long, withinMillis: Double): Boolean {
        val needed = waitMillis(nowMillis) + bytes * MILLIS_PER_SECOND / bytesPerSecond
        if (needed > withinMillis) return false
        reserve(bytes, nowMillis)
        return true
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
