package org.parsleymoor.entry.control

import org.parsleymoor.core.Clock
import org.parsleymoor.entry.protocol.ObjectKind
import kotlin.random.Random

/**
 * Limits the calls to an object store that does not respond, because each call is billed. Only one kind of objects is
 * tried at a time: at a short interval by an instance that watches the store for others, with exponential backoff by
 * the others. The backoff is bounded so that each instance reads the store again within [stableMillis] after the end of
 * an outage, also when all others are gone or do not reach the store.
 */
internal class StoreCallBackoff(
    private val clock: Clock,
    stableMillis: Long,
    private val random: Random = Random.Default,
) {
    // Half of the longest pause; the other half is random, so that instances do not call at once after an outage.
    private val longestIntervalMillis = stableMillis * LONGEST_PAUSE_PERCENT / PERCENT / 2
    private var failing = false
    private var probedKind: ObjectKind? = null
    private var nextCallMillis = 0L
    private var intervalMillis = 0L

    /** Whether the last call, of any kind, failed. */
    val isStoreUnreachable: Boolean get() = failing

    /** Returns whether a call for [kind] may be made now; [follows] when other instances depend on it. */
    fun mayCall(kind: ObjectKind, follows: Boolean): Boolean {
        val nowMillis = clock.nowMillis()
        val isOther = probedKind != null && probedKind != kind
        val isDue = nowMillis >= nextCallMillis + if (isOther) HANDOVER_MILLIS else 0
        if (failing && isDue) {
            probedKind = kind
            intervalMillis = if (follows) FOLLOWER_MILLIS else nextIntervalMillis()
            nextCallMillis = nowMillis + intervalMillis + random.nextLong(intervalMillis)
        }
        return !failing || isDue
    }

    private fun nextIntervalMillis() = maxOf(intervalMillis * 2, INITIAL_MILLIS).coerceIn(1, longestIntervalMillis)

    /** Resets the backoff after a response. */
    fun recordSuccess() {
        failing = false
        probedKind = null
        intervalMillis = 0
        nextCallMillis = 0
    }

    /** Starts or continues the backoff after a failed call. */
    fun recordFailure() {
        if (!failing) nextCallMillis = clock.nowMillis() + FOLLOWER_MILLIS
        failing = true
    }

    private companion object {
        // Short, because instances that depend on a follower wait for it after the store has recovered.
        const val FOLLOWER_MILLIS = 150L
        const val INITIAL_MILLIS = 1_000L

        // Of 4,000 ms until the copies have to be current again: at most 2,000 from the last failed call to the next,
        // HANDOVER_MILLIS, 200 until the loop looks, 500 for the call, and 700 until the other kinds are read as well.
        const val LONGEST_PAUSE_PERCENT = 50
        const val PERCENT = 100

        // Time after which another kind is tried if the current one is no longer read, because peers send its objects.
        const val HANDOVER_MILLIS = 500L
    }
}
