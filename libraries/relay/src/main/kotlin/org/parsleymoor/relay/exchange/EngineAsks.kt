package org.parsleymoor.relay.exchange

import org.parsleymoor.relay.fleet.EndpointState

/**
 * Decides when this instance asks an engine for its load. The first in the engine's reading order asks every
 * [PERIOD_MILLIS]. An engine that does not answer is asked less often, by the first instances in turn, because the
 * first may be the only one that cannot reach it. Not safe for use from several threads.
 */
public class EngineAsks(private val roster: ReadingRoster) {
    /** Whether this instance asks [state] at [nowMillis]. */
    public fun isDue(state: EndpointState, nowMillis: Long): Boolean {
        val loadAge = nowMillis - (state.engineLoad?.atMillis ?: state.startHeardMillis)
        if (loadAge < PERIOD_MILLIS) return false
        val engine = state.entry.id.value
        val zone = state.entry.zone
        val isTurn = (loadAge / TURN_MILLIS % TURNS).toInt() == roster.rank(engine, zone)
        return when {
            nowMillis - state.silentMillis < (if (isTurn) PERIOD_MILLIS else SILENT_PERIOD_MILLIS) -> false
            isTurn -> true
            else -> loadAge >= PERIOD_MILLIS + roster.waitMillis(engine, zone)
        }
    }

    public companion object {
        // Prompts take some hundred milliseconds to read; a report at this rate shows each of them.
        private const val PERIOD_MILLIS = 230L

        // An engine that crashed is back after a second or more.
        private const val SILENT_PERIOD_MILLIS = 700L
        private const val TURN_MILLIS = 1_000L
        private const val TURNS = 4
    }
}
