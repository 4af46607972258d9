package org.parsleymoor.entry.serving

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.parsleymoor.core.Clock
import org.parsleymoor.entry.callers.CallerServer

/** Closes [server] within a grace period of [graceMillis]. Confined to the event loop. */
internal class GracefulShutdown(
    private val server: CallerServer,
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val graceMillis: Long,
) {
    /** Suspends until no connection is open or the grace period, which began at [startMillis], is nearly over. */
    suspend fun run(startMillis: Long) {
        val untilMillis = startMillis + graceMillis - EXIT_MARGIN_MILLIS
        val closeIdleMillis = clock.nowMillis() + CLOSE_IDLE_MILLIS
        val earliestMillis = clock.nowMillis() + UNREADY_MILLIS
        while (clock.nowMillis() < if (server.openConnections > 0) untilMillis else earliestMillis) {
            if (clock.nowMillis() >= closeIdleMillis) server.closeIdle()
            delay(POLL_MILLIS)
        }
        // A caller may connect while the last connection closes; its request is served, or the connection refused.
        val draining = scope.launch { server.shutdown((untilMillis - clock.nowMillis()).coerceAtLeast(1)) }
        while (draining.isActive && clock.nowMillis() < untilMillis) {
            server.closeIdle()
            delay(POLL_MILLIS)
        }
    }

    private companion object {
        // Time left for the process to exit after the last response.
        const val EXIT_MARGIN_MILLIS = 500L

        // Idle connections are closed after this time; until then, a request on one of them is served and closes it.
        const val CLOSE_IDLE_MILLIS = 800L

        // The platform probes readiness once a second and opens no new connections after two negative responses.
        const val UNREADY_MILLIS = 2_200L
        const val POLL_MILLIS = 20L
    }
}
