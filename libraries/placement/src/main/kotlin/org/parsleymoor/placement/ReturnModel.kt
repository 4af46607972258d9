package org.parsleymoor.placement

import org.parsleymoor.context.PieceHash
import org.parsleymoor.core.OrganisationId

/**
 * Settings of a [ReturnModel]. Uses closer together than [sessionGapMillis] count as one session. Sessions are expected
 * to repeat every [periodMillis], within a tolerance of [toleranceMillis].
 */
public data class ReturnModelSettings(
    public val sessionGapMillis: Long = 600_000,
    public val periodMillis: Long = 86_400_000,
    public val toleranceMillis: Long = 3_600_000,
    public val maximumPieces: Int = 500_000,
)

/** The [probability] that a block is used again, and the expected time until then, given that it is. */
public data class ExpectedReturn(public val probability: Double, public val remainingMillis: Long)

/**
 * Predicts when blocks are used again. The probability comes from the return intervals of the organisation's blocks. A
 * block with more than one session is expected at the next of its own times of day, any other after the organisation's
 * mean interval. Not thread-safe.
 */
public class ReturnModel(private val settings: ReturnModelSettings = ReturnModelSettings()) {
    private val uses = object : LinkedHashMap<PieceHash, PieceUses>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: Map.Entry<PieceHash, PieceUses>): Boolean =
            size > settings.maximumPieces
    }
    private val intervalsByOrganisation = HashMap<String, ReturnIntervalEstimate>()

    /** Records at [nowMillis] that a request of [organisation] used [pieces]. */
    public fun used(organisation: OrganisationId, pieces: List<PieceHash>, nowMillis: Long) {
        val intervals = intervalsByOrganisation.getOrPut(organisation.value) { ReturnIntervalEstimate() }
        pieces.forEachIndexed { depth, piece ->
            val known = uses[piece]
            if (known == null) {
                uses[piece] = PieceUses(intervals, depth, nowMillis)
                intervals.sessionStarted(isFirst = true, nowMillis)
            } else {
                useAgain(known, nowMillis)
            }
        }
    }

    /** Returns when [piece] is expected to be used after [nowMillis]; the probability is 0 for an unknown piece. */
    public fun expectedReturn(piece: PieceHash, nowMillis: Long): ExpectedReturn {
        val known = uses[piece] ?: return ExpectedReturn(0.0, settings.periodMillis)
        val isFirst = known.sessions == 1
        val expected = known.intervals.returnAfter(nowMillis - known.lastMillis, isFirst, nowMillis)
        return if (isFirst) expected else expected.copy(remainingMillis = nextUsualMillis(known, nowMillis) - nowMillis)
    }

    /** Returns the index of [piece] in the prompt that first used it. */
    public fun depth(piece: PieceHash): Int = uses[piece]?.depth ?: 0

    private fun useAgain(known: PieceUses, nowMillis: Long) {
        val intervalMillis = nowMillis - known.lastMillis
        if (intervalMillis >= settings.sessionGapMillis) {
            known.intervals.returned(intervalMillis, known.sessions == 1)
            known.intervals.sessionStarted(isFirst = false, nowMillis)
            known.recordSession(nowMillis)
        }
        known.lastMillis = nowMillis
    }

    /**
     * Returns the next occurrence of the time of day of a recent session. One that is overdue by less than half the
     * tolerance counts as due now.
     */
    private fun nextUsualMillis(known: PieceUses, nowMillis: Long): Long {
        val from = maxOf(nowMillis - settings.toleranceMillis / 2, known.lastMillis + settings.toleranceMillis)
        val next = known.sessionStarts.minOf { start ->
            val periods = Math.floorDiv(from - start + settings.periodMillis - 1, settings.periodMillis)
            start + periods * settings.periodMillis
        }
        return maxOf(next, nowMillis)
    }

    private class PieceUses(val intervals: ReturnIntervalEstimate, val depth: Int, startMillis: Long) {
        val sessionStarts = ArrayList<Long>(MAXIMUM_STARTS).apply { add(startMillis) }
        var sessions = 1
        var lastMillis = startMillis

        fun recordSession(millis: Long) {
            if (sessionStarts.size == MAXIMUM_STARTS) sessionStarts.removeAt(0)
            sessionStarts += millis
            sessions++
        }
    }

    private companion object {
        const val INITIAL_CAPACITY = 1_024
        const val LOAD_FACTOR = 0.75f

        /** Enough for a day of three sessions and the session that shows the period. */
        const val MAXIMUM_STARTS = 5
    }
}
