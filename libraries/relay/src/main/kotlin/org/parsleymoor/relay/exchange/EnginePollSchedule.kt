package org.parsleymoor.relay.exchange

import org.parsleymoor.relay.fleet.EndpointState

/**
 * Decides when this instance asks an engine for its load. The first in the engine's reading order asks every
 * [PERIOD_MILLIS]. An engine that does not answer is asked less often, by the first instances in turn, because the
 * first may be the only one that cannot reach it. Not safe for use from several threads.
 */
public class EnginePollSchedule(private val roster: ReaderRanking) {
    /** Whether this instance asks [state] at [nowMillis]. */
    public fun isDue(state: EndpointState, nowMillis: Long): Boolean {
        val loadAge = nowMillis - (state.engineLoad?.atMillis ?: state.firstSeenMillis)
        if (loadAge < PERIOD_MILLIS) return false
        val engine = state.entry.id.value
        val zone = state.entry.zone
        val silentAge = nowMillis - state.unansweredPollMillis
        val isTurn = (loadAge / TURN_MILLIS % TURNS).toInt() == roster.rank(engine, zone)
        val waitMillis = roster.waitMillis(engine, zone)
        return if (isTurn) {
            silentAge >= PERIOD_MILLIS
        } else {
            loadAge >= PERIOD_MILLIS + waitMillis && silentAge >= SILENT_PERIOD_MILLIS + waitMillis
        }
    }

    private companion object {
        // Prompts take some hundred milliseconds to read; a report at this rate shows each of them.
        const val PERIOD_MILLIS = 230L

        // An engine that crashed is back after a second or more.
        const val SILENT_PERIOD_MILLIS = 700L
        const val TURN_MILLIS = 1_000L
        const val TURNS = 4
    }
}
