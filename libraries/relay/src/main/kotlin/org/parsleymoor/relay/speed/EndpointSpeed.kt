package org.parsleymoor.relay.speed

import kotlin.math.exp
import kotlin.math.ln

/**
 * How long work takes at one endpoint, as a factor of the usual: what it reports of its machine, and what its answers
 * show. An endpoint that reports nothing and does not differ measurably has exactly the factor 1. Not thread-safe.
 */
public class EndpointSpeed {
    private var reported: ReportedPace? = null
    private var learned: LearnedSpeed? = null

    /** Whether the last [change] of this endpoint was that its speed became unusual. */
    internal var isUnusual = false

    /** Records that work took [percent] of the usual time on the endpoint's machine at [atMillis]. */
    public fun report(percent: Int, atMillis: Long) {
        val pace = reported ?: ReportedPace().also { reported = it }
        pace.report(percent, atMillis)
    }

    /** Returns the factor for work that starts at [nowMillis], between a quarter and four. */
    public fun workFactor(nowMillis: Long): Double =
        factor((reported?.present(nowMillis) ?: 0.0) + (learned?.lasting(nowMillis) ?: 0.0))

    /** Returns the factor over many answers and reports, without what changes many times a second. */
    public fun lastingFactor(nowMillis: Long): Double =
        factor((reported?.settled(nowMillis) ?: 0.0) + (learned?.lasting(nowMillis) ?: 0.0))

    /** Adds what another instance measured. */
    public fun learn(evidence: SpeedEvidence, nowMillis: Long) {
        learned().learn(evidence, nowMillis)
    }

    /** Returns what this instance measured and has to tell the others now, or null. */
    public fun takeUntold(): SpeedEvidence? = learned?.takeUntold()

    /** Forgets everything, because the endpoint has started again. */
    public fun reset() {
        reported = null
        learned = null
        isUnusual = false
    }

    internal fun reportedLasting(nowMillis: Long): Double = reported?.lasting(nowMillis) ?: 0.0

    /** Records that work took e^[deviation] times as long as usual, beyond what the endpoint reports. */
    internal fun recordDeviation(deviation: Double, nowMillis: Long) {
        learned().record(deviation, nowMillis)
    }

    private fun learned(): LearnedSpeed = learned ?: LearnedSpeed().also { learned = it }

    private fun factor(logarithm: Double): Double =
        if (logarithm == 0.0) 1.0 else exp(logarithm.coerceIn(-MAX_FACTOR_LOG, MAX_FACTOR_LOG))

    private companion object {
        val MAX_FACTOR_LOG = ln(4.0)
    }
}
