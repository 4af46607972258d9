package org.parsleymoor.placement

import org.parsleymoor.context.PieceHash
import org.parsleymoor.core.OrganisationId

/** Bounds and resolutions of a [ReturnModel]. Uses closer together than [sessionGapMillis] count as one session. */
public data class ReturnModelSettings(
    public val sessionGapMillis: Long = 600_000,
    public val periodMillis: Long = 86_400_000,
    public val timeOfDayToleranceMillis: Long = 3_600_000,
    public val maximumPieces: Int = 500_000,
)

/** The [probability] that a block is used again, and the expected time until then if it is. */
public data class ExpectedReturn(public val probability: Double, public val remainingMillis: Long)

/**
 * Learns when blocks are used again. How likely that is comes from the intervals of the organisation's other blocks. A
 * block with more than one session is expected at the next of its own times of day, any other after the mean interval.
 * Not safe for use from several threads.
 */
public class ReturnModel(private val settings: ReturnModelSettings = ReturnModelSettings()) {
    private val uses = object : LinkedHashMap<PieceHash, PieceUses>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: Map.Entry<PieceHash, PieceUses>): Boolean =
            size > settings.maximumPieces
    }
    private val groups = HashMap<String, ReturnIntervalEstimate>()

    /** Records at [nowMillis] that a request of [organisation] used [pieces]. */
    public fun used(organisation: OrganisationId, pieces: List<PieceHash>, nowMillis: Long) {
        val group = groups.getOrPut(organisation.value) { ReturnIntervalEstimate() }
        pieces.forEachIndexed { depth, piece ->
            val known = uses[piece]
            if (known == null) {
                uses[piece] = PieceUses(group, depth, nowMillis)
                group.sessionStarted(isFirst = true, nowMillis)
            } else {
                useAgain(known, nowMillis)
            }
        }
    }

    /** Returns when [piece] is expected to be used after [nowMillis]; an unknown piece is not expected. */
    public fun expect(piece: PieceHash, nowMillis: Long): ExpectedReturn {
        val known = uses[piece] ?: return ExpectedReturn(0.0, settings.periodMillis)
        val isFirst = known.sessions == 1
        val returns = known.group.returnAfter(nowMillis - known.lastMillis, isFirst, nowMillis)
        return if (isFirst) returns else returns.copy(remainingMillis = usualMillis(known, nowMillis) - nowMillis)
    }

    /** Returns the position of [piece] in its prompt when it was first used. */
    public fun depth(piece: PieceHash): Int = uses[piece]?.depth ?: 0

    private fun useAgain(known: PieceUses, nowMillis: Long) {
        val interval = nowMillis - known.lastMillis
        if (interval >= settings.sessionGapMillis) {
            known.group.returned(interval, known.sessions == 1)
            known.group.sessionStarted(isFirst = false, nowMillis)
            known.startSession(nowMillis)
        }
        known.lastMillis = nowMillis
    }

    /** The earliest time of day of a recent session that is still to come or is overdue by less than the tolerance. */
    private fun usualMillis(known: PieceUses, nowMillis: Long): Long {
        val from =
            maxOf(
                nowMillis - settings.timeOfDayToleranceMillis / 2,
                known.lastMillis + settings.timeOfDayToleranceMillis
            )
        val next = known.starts.minOf { start ->
            val periods = Math.floorDiv(from - start + settings.periodMillis - 1, settings.periodMillis)
            start + periods * settings.periodMillis
        }
        return maxOf(next, nowMillis)
    }

    private class PieceUses(val group: ReturnIntervalEstimate, val depth: Int, startMillis: Long) {
        val starts = ArrayList<Long>(MAXIMUM_STARTS).apply { add(startMillis) }
        var sessions = 1
        var lastMillis = startMillis

        fun startSession(millis: Long) {
            if (starts.size == MAXIMUM_STARTS) starts.removeAt(0)
            starts += millis
            sessions++
        }
    }

    private companion object {
        const val INITIAL_CAPACITY = 1_024
        const val LOAD_FACTOR = 0.75f

        /** A day of three sessions and the one that shows the period. */
        const val MAXIMUM_STARTS = 5
    }
}
