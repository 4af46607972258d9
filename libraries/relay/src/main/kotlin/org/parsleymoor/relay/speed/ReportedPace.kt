package org.parsleymoor.relay.speed

import kotlin.math.exp
import kotlin.math.ln

/**
 * What an endpoint reports about how long work takes on its machine at present, in percent of the usual. The figure
 * changes many times a second, so it says something about the next few hundred milliseconds only; what lasts is its
 * average. Logarithms, so that a third and three times the usual weigh the same. Not thread-safe.
 */
internal class ReportedPace {
    private var average = 0.0
    private var recent = 0.0
    private var settled = 0.0
    private var reports = 0
    private var reportedMillis = 0L

    /** Records that work took [percent] of the usual time at [atMillis]; older reports than the newest are dropped. */
    fun report(percent: Int, atMillis: Long) {
        val ageMillis = atMillis - reportedMillis
        if (reports > 0 && ageMillis <= 0) return
        val reported = ln(percent.toDouble().coerceIn(MIN_PERCENT, MAX_PERCENT) / USUAL_PERCENT)
        val first = 1.0 / (reports + 2)
        val later = (1 - exp(-ageMillis / AVERAGE_MILLIS)).coerceAtMost(MAX_WEIGHT)
        average += (reported - average) * maxOf(first, later)
        recent = if (reports == 0) reported else recent + (reported - recent) * (1 - exp(-ageMillis / RECENT_MILLIS))
        settled += (reported - settled) / (minOf(reports, SETTLED_REPORTS) + USUAL_REPORTS)
        reportedMillis = atMillis
        reports++
    }

    /** The logarithm of the factor that lasts: the average, which fades when nothing is reported any more. */
    fun lasting(nowMillis: Long): Double =
        if (reports == 0) 0.0 else average * exp(-ageMillis(nowMillis) / FADE_MILLIS)

    /** The same over many reports, for what operators are told; placement follows changes sooner. */
    fun settled(nowMillis: Long): Double = settled * exp(-ageMillis(nowMillis) / FADE_MILLIS)

    /**
     * The logarithm of the factor for work that starts now. That the machine was fast a moment ago counts for little:
     * every instance would send its next requests there.
     */
    fun present(nowMillis: Long): Double {
        if (reports == 0) return 0.0
        val lasting = lasting(nowMillis)
        val freshness = (1 - ageMillis(nowMillis) / FRESH_MILLIS).coerceAtLeast(0.0)
        val deviation = recent - lasting
        return lasting + freshness * if (deviation < 0) deviation * FAST_SHARE else deviation
    }

    private fun ageMillis(nowMillis: Long): Double = (nowMillis - reportedMillis).coerceAtLeast(0).toDouble()

    private companion object {
        const val USUAL_PERCENT = 100.0
        const val MIN_PERCENT = 25.0
        const val MAX_PERCENT = 400.0
        const val RECENT_MILLIS = 150.0
        const val FRESH_MILLIS = 400.0
        const val AVERAGE_MILLIS = 2_000.0
        const val FADE_MILLIS = 8_000.0

        // A single report, however late, says little about the average.
        const val MAX_WEIGHT = 0.3
        const val FAST_SHARE = 0.25
        const val SETTLED_REPORTS = 30
        const val USUAL_REPORTS = 12
    }
}
