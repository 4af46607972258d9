package org.parsleymoor.relay.exchange

import org.parsleymoor.relay.fleet.EndpointState

/**
 * Decides when this instance polls an engine for its load. The instance that ranks first for the engine polls it every
 * [PERIOD_MILLIS]. While the engine does not respond, the first [TURNS] instances take turns, because the first may be
 * the only one that cannot reach it, and all others poll it less often. Not thread-safe.
 */
public class EnginePollSchedule(private val ranking: ReaderRanking) {
    /** Returns whether this instance polls [state] at [nowMillis]. */
    public fun isDue(state: EndpointState, nowMillis: Long): Boolean {
        val loadAge = nowMillis - (state.engineLoad?.atMillis ?: state.firstSeenMillis)
        if (loadAge < PERIOD_MILLIS) return false
        val engine = state.entry.id.value
        val zone = state.entry.zone
        val unansweredAge = nowMillis - state.unansweredPollMillis
        val isTurn = (loadAge / TURN_MILLIS % TURNS).toInt() == ranking.rank(engine, zone)
        val extraWait = ranking.takeoverDelayMillis(engine, zone)
        return if (isTurn) {
            unansweredAge >= PERIOD_MILLIS
        } else {
            loadAge >= PERIOD_MILLIS + extraWait && unansweredAge >= UNANSWERED_PERIOD_MILLIS + extraWait
        }
    }

    private companion object {
        // Prefill of a prompt takes some hundred milliseconds, so reports at this interval show every prompt.
        const val PERIOD_MILLIS = 230L

        // A crashed engine takes a second or more to restart.
        const val UNANSWERED_PERIOD_MILLIS = 700L
        const val TURN_MILLIS = 1_000L
        const val TURNS = 4
    }
}
