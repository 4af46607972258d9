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

/** The lease `leases/orders`: only its holder sends orders to engines. Functions are safe from any thread. */
internal class OrderLease(
    self: Incarnation,
    platform: PlatformClient,
    settings: LeaseSettings,
    private val clock: Clock,
    private val scope: CoroutineScope,
) {
    private val holder = LeaseManager(NAME, self, settings)
    private val objects = LeaseObjects(platform)
    private var leaving = false

    /** The lease when it may be used now; asked again immediately before each order. */
    @Synchronized
    fun held(): HeldLease? = holder.held(clock.nowMillis())

    /** Renews the lease that is held, or tries for it when this gateway [contends]. */
    @Synchronized
    fun tick(contends: Boolean) {
        val keeps = holder.held(clock.nowMillis()) != null
        handle(LeaseEvent.Wanted((contends || keeps) && !leaving))
    }

    /** Gives the lease up, so that another gateway takes it at once; suspends until the platform has answered. */
    suspend fun release() {
        val calls = synchronized(this) {
            leaving = true
            handle(LeaseEvent.Wanted(false))
        }
        withTimeoutOrNull(RELEASE_MILLIS) { calls.joinAll() }
    }

    private fun handle(event: LeaseEvent): List<Job> = holder.handle(clock.nowMillis(), event).map { perform(it) }

    private fun perform(action: LeaseAction): Job = scope.launch {
        val outcome = objects.perform(action)
        synchronized(this@OrderLease) { handle(outcome) }
    }

    private companion object {
        const val NAME = "orders"
        const val RELEASE_MILLIS = 2_000L
    }
}
