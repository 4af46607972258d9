package org.parsleymoor.entry.net

import kotlinx.coroutines.delay

/**
 * Suspends until the event loop has polled its sockets, so that long work on one connection does not hold up the
 * others. Any timer, however short, fires after that; tasks that are queued again and again would run before it.
 */
internal suspend fun awaitSocketPoll() {
    delay(POLL_MILLIS)
}

private const val POLL_MILLIS = 1L
