package org.parsleymoor.gateway.control

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.parsleymoor.clients.PlatformClient
import org.parsleymoor.coordination.ColdLeaseEvent
import org.parsleymoor.coordination.ColdStartLeases
import org.parsleymoor.coordination.LeaseAction
import org.parsleymoor.core.Clock
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.Incarnation
import org.parsleymoor.gateway.serving.ColdStartGuard
import org.parsleymoor.gateway.serving.ReportedColdStates
import org.parsleymoor.limits.ColdStartEvent

/**
 * Enforces the limit of a cold endpoint across all gateways (I4): only the holder of `leases/cold.{endpoint}` sends to
 * it. While the platform is unavailable no lease is acquired, and cold endpoints get no new work. [mayContend] says
 * whether this gateway is one of the first candidates for a lease. Lock order: the fleet's lock before this guard's.
 */
internal class LeasedColdStart(
    self: Incarnation,
    platform: PlatformClient,
    private val clock: Clock,
    private val scope: CoroutineScope,
    private val limit: () -> Int,
    private val mayContend: (EndpointId) -> Boolean,
) : ColdStartGuard {
    private val leases = ColdStartLeases(self)
    private val coldStates = ReportedColdStates()
    private val objects = LeaseObjects(platform)

    /** Acquires and renews leases until the scope ends. */
    fun start() {
        scope.launch {
            while (true) {
                delay(TICK_MILLIS)
                tick()
            }
        }
    }

    @Synchronized
    override fun maySend(endpoint: EndpointId, running: Int, nowMillis: Long): Boolean {
        val grant = leases.grant(nowMillis, endpoint)
        return when {
            !coldStates.isCold(endpoint) -> true
            grant == null -> false
            else -> maxOf(running, grant.foreignRunning) < limit()
        }
    }

    @Synchronized
    override fun isCold(endpoint: EndpointId): Boolean = coldStates.isCold(endpoint)

    @Synchronized
    override fun accept(event: ColdStartEvent, nowMillis: Long) {
        if (coldStates.accept(event)) updateColdState(event.endpoint, nowMillis)
    }

    @Synchronized
    override fun loadRead(endpoint: EndpointId, requestedMillis: Long, running: Int, nowMillis: Long) {
        perform(endpoint, leases.handle(nowMillis, endpoint, ColdLeaseEvent.LoadRead(requestedMillis, running)))
    }

    @Synchronized
    private fun tick() {
        val nowMillis = clock.nowMillis()
        coldStates.coldEngines().forEach { updateColdState(it, nowMillis) }
        leases.tick(nowMillis).forEach { (endpoint, actions) -> perform(endpoint, actions) }
    }

    private fun updateColdState(endpoint: EndpointId, nowMillis: Long) {
        val event = ColdLeaseEvent.ColdState(coldStates.isCold(endpoint), mayContend(endpoint))
        perform(endpoint, leases.handle(nowMillis, endpoint, event))
    }

    private fun perform(endpoint: EndpointId, actions: List<LeaseAction>) {
        actions.forEach { action ->
            scope.launch {
                val outcome = ColdLeaseEvent.Lease(objects.perform(action))
                synchronized(this@LeasedColdStart) {
                    perform(endpoint, leases.handle(clock.nowMillis(), endpoint, outcome))
                }
            }
        }
    }

    private companion object {
        const val TICK_MILLIS = 200L
    }
}
