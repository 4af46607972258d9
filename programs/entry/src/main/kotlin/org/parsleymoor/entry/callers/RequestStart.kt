package org.parsleymoor.entry.callers

import kotlinx.coroutines.withTimeoutOrNull
import org.parsleymoor.entry.net.SocketInput

/** Waits on [input] for the first bytes of requests. Confined to the event loop. */
internal class RequestStart(private val input: SocketInput, private val context: CallerContext) {
    /** Size of the empty lines that were skipped before the request, which count as a part of its head. */
    var skippedBytes = 0
        private set

    /**
     * Waits for a request up to the idle limit, the longest one in force during the wait: callers count on the newest
     * limit, and after it has been lowered, some still on the former one. Returns whether one has begun to arrive.
     */
    suspend fun await(): Boolean {
        val sinceMillis = context.clock.nowMillis()
        var limitMillis = context.limits().idleMillis
        skippedBytes = input.queue.skipEmptyLines()
        while (isSilent()) {
            val remainingMillis = sinceMillis + limitMillis - context.clock.nowMillis()
            if (remainingMillis <= 0) break
            withTimeoutOrNull(remainingMillis) { awaitFirstBytes() }
            limitMillis = maxOf(limitMillis, context.limits().idleMillis)
        }
        // Lets the event loop read its sockets once more: a request may have arrived while it was busy.
        if (isSilent()) withTimeoutOrNull(POLL_MILLIS) { awaitFirstBytes() }
        return input.queue.size > 0 || hasFault()
    }

    private fun isSilent() = input.queue.size == 0 && input.end == null && !hasFault()

    /** Whether what arrives instead of a request has to be refused. */
    private fun hasFault() = input.overflowed || skippedBytes > context.limits().headBytes

    private suspend fun awaitFirstBytes() {
        while (isSilent()) {
            input.awaitMore()
            skippedBytes += input.queue.skipEmptyLines()
        }
    }

    private companion object {
        // Any timer, however short, fires after the event loop has polled its sockets.
        const val POLL_MILLIS = 1L
    }
}
