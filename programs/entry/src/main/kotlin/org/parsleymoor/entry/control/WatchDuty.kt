package org.parsleymoor.entry.control

import org.parsleymoor.core.Clock
import org.parsleymoor.relay.exchange.PeerTree

/**
 * Decides whether this instance reads the object store itself. A few instances of each availability zone follow the
 * store, and the others are told; one that has not been told in time reads it as well. [applyMillis] is the time after
 * which a change has to be in force.
 */
internal class WatchDuty(private val tree: PeerTree, private val clock: Clock, applyMillis: Long) {
    /** How long a call waits for changes, in milliseconds. */
    val waitMillis: Long = applyMillis * WAIT_PARTS / PARTS

    /** How long a response may take beyond that before its connection is taken for silent, in milliseconds. */
    val marginMillis: Long = applyMillis * MARGIN_PARTS / PARTS

    private val silenceMillis = waitMillis + applyMillis * SILENCE_PARTS / PARTS

    /** Whether this instance follows the store for others. */
    val follows: Boolean get() = tree.watchesObjectStore

    /** Whether this instance reads the store when its objects were last known to be current at [currentMillis]. */
    fun isDue(currentMillis: Long): Boolean {
        val turnMillis = minOf(tree.rank, MOST_TURNS) * TURN_MILLIS
        return follows || clock.nowMillis() - currentMillis >= silenceMillis + turnMillis
    }

    private companion object {
        // A follower whose connection fell silent, or another instance in its place, knows of a change after 0.4 + 0.2
        // or 0.4 + 0.24 of the time in which it has to be in force, and a turn.
        const val WAIT_PARTS = 40
        const val MARGIN_PARTS = 20
        const val SILENCE_PARTS = 24
        const val PARTS = 100

        // The instances of a zone take over one after the other, so that one is heard before the next begins.
        const val TURN_MILLIS = 100L
        const val MOST_TURNS = 8
    }
}
