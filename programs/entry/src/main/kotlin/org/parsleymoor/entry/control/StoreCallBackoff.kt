package org.parsleymoor.entry.control

import org.parsleymoor.core.Clock
import org.parsleymoor.entry.protocol.ObjectKind
import kotlin.random.Random

/**
 * Limits the calls to an object store that does not respond, because each call is billed. Only one kind of objects is
 * tried at a time: at a short interval by an instance that watches the store for others, with exponential backoff by
 * the others.
 */
internal class StoreCallBackoff(private val clock: Clock, private val random: Random = Random.Default) {
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
            intervalMillis = if (follows) FOLLOWER_MILLIS else (intervalMillis * 2).coerceIn(INITIAL_MILLIS, MAX_MILLIS)
            nextCallMillis = nowMillis + intervalMillis + random.nextLong(intervalMillis)
        }
        return !failing || isDue
    }

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
        const val MAX_MILLIS = 4_000L

        // Time after which another kind is tried if the current one is no longer read, because peers send its objects.
        const val HANDOVER_MILLIS = 500L
    }
}
