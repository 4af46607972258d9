package org.parsleymoor.standins

import kotlinx.coroutines.delay
import org.parsleymoor.core.Clock

/** A link that carries one transfer after the other. */
internal class RatedLink(private val clock: Clock) {
    private var freeAtMillis = 0L
    private var pendingBytes = 0L

    val queuedBytes: Long get() = pendingBytes

    /** Suspends until [bytes] have crossed at [bytesPerSecond] behind everything queued before. */
    suspend fun carry(bytes: Long, bytesPerSecond: Long) {
        val now = clock.nowMillis()
        freeAtMillis = maxOf(now, freeAtMillis) + bytes * MILLIS_PER_SECOND / bytesPerSecond
        pendingBytes += bytes
        try {
            delay(freeAtMillis - now)
        } finally {
            pendingBytes -= bytes
        }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
    }
}
