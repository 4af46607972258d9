package org.parsleymoor.entry.control

import org.parsleymoor.core.Clock
import org.parsleymoor.entry.serving.DeploymentView
import org.parsleymoor.entry.serving.EventLoopLag

/**
 * Holds back, after a start, the work that no caller waits for. On a small share of a core, everything that is begun
 * before the configuration and the list of endpoints are read delays the first answer by its processor time.
 * [isStoreUnreachable] tells whether the object store does not respond, in which case only peers can help.
 */
internal class StartOrder(
    private val deployment: DeploymentView,
    private val lag: EventLoopLag,
    private val ticks: ControlTicks,
    private val clock: Clock,
    private val isStoreUnreachable: () -> Boolean,
) {
    /** Suspends until requests can be placed, the object store is found unreachable, or [KNOWN_MILLIS] have passed. */
    suspend fun awaitKnown() {
        val untilMillis = clock.nowMillis() + KNOWN_MILLIS
        while (!isKnown && !isStoreUnreachable() && clock.nowMillis() < untilMillis) ticks.await()
    }

    /** Suspends, after [awaitKnown], until the event loop keeps up or [CALM_MILLIS] have passed. */
    suspend fun awaitCalm() {
        awaitKnown()
        val untilMillis = clock.nowMillis() + CALM_MILLIS
        while (!lag.settled && !isStoreUnreachable() && clock.nowMillis() < untilMillis) ticks.await()
    }

    private val isKnown: Boolean get() = deployment.routes != null && deployment.isKnown

    private companion object {
        // Several times what a start on a tenth of a core takes to read them.
        const val KNOWN_MILLIS = 3_000L

        // Short of the time without status from peers after which instances begin to read the object store themselves.
        const val CALM_MILLIS = 1_200L
    }
}
