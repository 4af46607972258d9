package org.parsleymoor.entry.control

import org.parsleymoor.core.Clock
import org.parsleymoor.entry.protocol.ObjectKind
import kotlin.random.Random

/**
 * Spaces the calls to an object store that does not answer, each of which is charged: one kind of objects is tried at a
 * time, by an instance that follows the store for others often, by the others ever more rarely.
 */
internal class StoreCallBackoff(private val clock: Clock, private val random: Random = Random.Default) {
    private var lost = false
    private var probe: ObjectKind? = null
    private var nextMillis = 0L
    private var pauseMillis = 0L

    /** Whether the last call, of whatever kind, was not answered. */
    val isStoreUnreachable: Boolean get() = lost

    /** Whether a call for [kind] may be made now; [follows] when others depend on it. */
    fun mayCall(kind: ObjectKind, follows: Boolean): Boolean {
        val nowMillis = clock.nowMillis()
        val isOther = probe != null && probe != kind
        val isDue = nowMillis >= nextMillis + if (isOther) HANDOVER_MILLIS else 0
        if (lost && isDue) {
            probe = kind
            pauseMillis = if (follows) FOLLOWER_MILLIS else (pauseMillis * 2).coerceIn(FIRST_MILLIS, LAST_MILLIS)
            nextMillis = nowMillis + pauseMillis + random.nextLong(pauseMillis)
        }
        return !lost || isDue
    }

    /** Notes that the store answered. */
    fun answered() {
        lost = false
        probe = null
        pauseMillis = 0
        nextMillis = 0
    }

    /** Notes that the store did not answer. */
    fun failed() {
        if (!lost) nextMillis = clock.nowMillis() + FOLLOWER_MILLIS
        lost = true
    }

    private companion object {
        // Those who wait for a follower lose no more than this after the store's return.
        const val FOLLOWER_MILLIS = 150L
        const val FIRST_MILLIS = 1_000L
        const val LAST_MILLIS = 4_000L

        // A kind that is no longer read, because its objects are told by peers, gives way to another.
        const val HANDOVER_MILLIS = 500L
    }
}
