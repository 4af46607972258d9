package org.parsleymoor.relay.release

/**
 * What this instance may send to a release before that is shown to be good. All instances together stay within [limit],
 * because each counts its own requests and takes an equal part of what the limit allows beyond the share. Not
 * thread-safe.
 */
internal class ExposureCredit(private val limit: ExposureLimit, private val isFromStart: Boolean) {
    private var requests = 0L
    private var granted = 0L
    private var pace = Double.NaN

    /** The place of this instance among the [instances]; null while those are not known. */
    data class Place(val rank: Int, val instances: Int)

    /** Counts a request for the service. */
    fun recordRequest() {
        requests++
    }

    /** Takes a request for the release if [step] gives it one now. */
    fun tryTake(step: ReleaseStep, place: Place?): Boolean {
        val offset = offset(place)
        if (pace.isNaN()) pace = offset
        pace = (pace + step.share).coerceAtMost(MAX_PACE)
        val taken = pace >= 1 && (step.stage >= ReleaseStage.SHIFT || granted + 1 <= bound(step.stage, place) + offset)
        if (taken) {
            pace--
            granted++
        }
        return taken
    }

    private fun bound(stage: ReleaseStage, place: Place?): Double {
        val part = if (stage == ReleaseStage.TRIAL) TRIAL_PART else LOADED_PART
        val extra = if (place != null && isFromStart) limit.extra / place.instances else 0.0
        return part * (limit.share * requests + extra)
    }

    /**
     * Spreads the rounding of many small parts: the instances together get the whole number that is nearest to the sum.
     * One that starts during the order may have had its part before.
     */
    private fun offset(place: Place?): Double =
        if (place != null && isFromStart) (place.rank + HALF) / place.instances else 0.0

    private companion object {
        // Keeps most of the limit for the test under load, and a third of it for requests that are counted late,
        // instances that count one another differently, and the first moments of the move.
        const val TRIAL_PART = 0.25
        const val LOADED_PART = 0.6
        const val MAX_PACE = 2.0
        const val HALF = 0.5
    }
}
