package org.parsleymoor.gateway.control

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.parsleymoor.clients.PlatformClient
import org.parsleymoor.coordination.HeldLease
import org.parsleymoor.coordination.LeaseAction
import org.parsleymoor.coordination.LeaseEvent
import org.parsleymoor.coordination.LeaseManager
import org.parsleymoor.coordination.LeaseSettings
import org.parsleymoor.core.Clock
import org.parsleymoor.core.Incarnation

/** The lease `leases/orders`; only its holder sends orders to engines. Thread-safe. */
internal class OrderLease(
    self: Incarnation,
    platform: PlatformClient,
    settings: LeaseSettings,
    private val clock: Clock,
    private val scope: CoroutineScope,
) {
    private val leaseManager = LeaseManager(NAME, self, settings)
    private val objects = LeaseObjects(platform)
    private var leaving = false

    /** The lease if it may be used now; checked again immediately before each order. */
    @Synchronized
    fun held(): HeldLease? = leaseManager.held(clock.nowMillis())

    /** Renews the lease if it is held; otherwise tries to acquire it if this gateway [mayContend]. */
    @Synchronized
    fun tick(mayContend: Boolean) {
        val keeps = leaseManager.held(clock.nowMillis()) != null
        handle(LeaseEvent.Wanted((mayContend || keeps) && !leaving))
    }

    /**
     * Releases the lease, so that another gateway can acquire it at once; suspends until the platform has answered or
     * the timeout has passed.
     */
    suspend fun release() {
        val calls = synchronized(this) {
            leaving = true
            handle(LeaseEvent.Wanted(false))
        }
        withTimeoutOrNull(RELEASE_TIMEOUT_MILLIS) { calls.joinAll() }
    }

    private fun handle(event: LeaseEvent): List<Job> = leaseManager.handle(clock.nowMillis(), event).map { perform(it) }

    private fun perform(action: LeaseAction): Job = scope.launch {
        val outcome = objects.perform(action)
        synchronized(this@OrderLease) { handle(outcome) }
    }

    private companion object {
        const val NAME = "orders"
        const val RELEASE_TIMEOUT_MILLIS = 2_000L
    }
}
