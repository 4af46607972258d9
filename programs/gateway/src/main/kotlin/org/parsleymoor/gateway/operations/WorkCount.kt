package org.parsleymoor.gateway.operations

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicInteger

/** Counts the requests in progress and refuses new ones once the gateway is leaving. */
internal class WorkCount {
    private val count = AtomicInteger()

    /** Whether the gateway takes no new work. */
    @Volatile
    var leaving: Boolean = false
        private set

    /** Requests in progress. */
    val running: Int get() = count.get()

    /** Counts a new request; returns false, and counts nothing, when the gateway is leaving. */
    fun begin(): Boolean {
        count.incrementAndGet()
        // Read after counting, so that a drain either sees this request or refuses it.
        val accepted = !leaving
        if (!accepted) count.decrementAndGet()
        return accepted
    }

    /** Counts the end of a request. */
    fun end() {
        count.decrementAndGet()
    }

    /** Refuses new requests from now on. */
    fun leave() {
        leaving = true
    }

    /** Stops new work and suspends until none is in progress; returns false when [limitMillis] passed before that. */
    suspend fun drain(limitMillis: Long): Boolean {
        leave()
        return withTimeoutOrNull(limitMillis) { while (count.get() > 0) delay(POLL_MILLIS) } != null
    }

    private companion object {
        const val POLL_MILLIS = 10L
    }
}
