package org.parsleymoor.entry.control

import org.parsleymoor.core.Clock
import org.parsleymoor.relay.exchange.PeerTree

/**
 * Decides whether this instance reads the object store itself. A few instances, the followers, watch the store and send
 * what they read to the others; an instance that receives no status in time reads the store as well. [applyMillis] is
 * the time in which a change has to take effect.
 */
internal class WatchPolicy(private val tree: PeerTree, private val clock: Clock, applyMillis: Long) {
    /** Time for which a watch call waits for changes. */
    val waitMillis: Long = applyMillis * WAIT_PERCENT / PERCENT

    /** Additional time for the response, after which its connection is considered dead. */
    val marginMillis: Long = applyMillis * MARGIN_PERCENT / PERCENT

    private val longestTakeoverMillis = applyMillis * TAKEOVER_PERCENT / PERCENT
    private val silenceMillis = waitMillis + applyMillis * SILENCE_PERCENT / PERCENT

    /** Whether this instance is a follower. */
    val follows: Boolean get() = tree.watchesObjectStore

    /** Returns whether to read the store when the objects were last confirmed to be current at [currentMillis]. */
    fun isDue(currentMillis: Long): Boolean {
        val takeoverMillis = (tree.rank * TAKEOVER_STEP_MILLIS).coerceAtMost(longestTakeoverMillis)
        return follows || clock.nowMillis() - currentMillis >= silenceMillis + takeoverMillis
    }

    private companion object {
        // When a connection to the store dies, its follower sees a change after at most 0.4 + 0.2 of the time in which
        // it has to take effect; an instance that takes over, after 0.4 + 0.24 of it and its takeover delay.
        const val WAIT_PERCENT = 40
        const val MARGIN_PERCENT = 20
        const val SILENCE_PERCENT = 24

        // Leaves 0.16 for the loop to look again and the call, if those that come before are gone as well.
        const val TAKEOVER_PERCENT = 20
        const val PERCENT = 100

        // The instances of a zone take over one after the other, so that the status sent by one stops the next.
        const val TAKEOVER_STEP_MILLIS = 100L
    }
}
