package org.parsleymoor.entry.serving

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.parsleymoor.core.Clock
import org.parsleymoor.entry.callers.CallerServer

/** Closes [server] within the grace period of [gate]. Confined to the event loop. */
internal class GracefulShutdown(
    private val server: CallerServer,
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val gate: ShutdownGate,
) {
    /**
     * Suspends until no connection is open or the process has to exit. When the last responses are due, the requests
     * that are still in flight get theirs. Requires that the grace period has begun.
     */
    suspend fun run() {
        val lastAnswerMillis = checkNotNull(gate.state.lastAnswerMillis) { "the grace period has not begun" }
        val exitMillis = checkNotNull(gate.state.exitMillis) { "the grace period has not begun" }
        val sweep = IdleSweep()
        val earliestMillis = minOf(clock.nowMillis() + UNREADY_MILLIS, lastAnswerMillis)
        while (clock.nowMillis() < if (server.openConnections > 0) lastAnswerMillis else earliestMillis) {
            sweep.closeIfDue()
            delay(POLL_MILLIS)
        }
        // A caller may connect while the last connection closes; its request is served, or the connection refused.
        val draining = scope.launch { server.shutdown((exitMillis - clock.nowMillis()).coerceAtLeast(1)) }
        while (draining.isActive && clock.nowMillis() < exitMillis) {
            if (clock.nowMillis() >= lastAnswerMillis) gate.cutoff.pass()
            sweep.closeIfDue()
            delay(POLL_MILLIS)
        }
    }

    private inner class IdleSweep {
        private var dueMillis = clock.nowMillis() + CLOSE_IDLE_MILLIS

        suspend fun closeIfDue() {
            if (clock.nowMillis() < dueMillis) return
            dueMillis += CLOSE_IDLE_MILLIS
            server.closeIdle()
        }
    }

    private companion object {
        // Idle connections are closed at this interval; until then, a request on one of them is served and closes it.
        // A shorter interval would close many new connections before their first request has arrived.
        const val CLOSE_IDLE_MILLIS = 800L

        // The platform probes readiness once a second and opens no new connections after two negative responses.
        const val UNREADY_MILLIS = 2_200L
        const val POLL_MILLIS = 20L
    }
}
