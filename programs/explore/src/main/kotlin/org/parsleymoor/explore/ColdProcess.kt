package org.parsleymoor.explore

import org.parsleymoor.coordination.ColdLeaseEvent
import org.parsleymoor.coordination.ColdStartLeases
import org.parsleymoor.coordination.LeaseEvent
import org.parsleymoor.coordination.LeaseRecord
import org.parsleymoor.core.EndpointId
import org.parsleymoor.limits.ColdStartDecision
import org.parsleymoor.limits.ColdStartEvent
import org.parsleymoor.limits.ColdStartLimit

/** A gateway that sends requests to endpoints in cold start under their leases. */
internal class ColdProcess(private val world: ColdWorld, val host: Host, private val number: Int) {
    private val client = LeaseClient(world, world.platform, host)
    private lateinit var limit: ColdStartLimit
    private lateinit var leases: ColdStartLeases
    private lateinit var running: HashMap<EndpointId, Int>
    private lateinit var knownStarts: HashMap<EndpointId, Long>

    init {
        host.onStart = ::start
    }

    /** Reports a change of a lease object, as a watch does. */
    fun watch(name: String, changed: SimulatedObject<LeaseRecord>) {
        val endpoint = world.endpoints.first { "cold.${it.name}" == name }.name
        val seen = LeaseEvent.Seen(changed.asLease())
        world.carry(deliver = host.bound { lease(endpoint, ColdLeaseEvent.Lease(seen)) })
    }

    private fun start() {
        limit = ColdStartLimit()
        leases = ColdStartLeases(host.incarnation)
        running = HashMap()
        knownStarts = HashMap()
        host.every(REPORT_MILLIS) { world.endpoints.forEach { readLoad(it) } }
        host.every(REQUEST_MILLIS) { request(world.chance.pick(world.endpoints)) }
    }

    private fun readLoad(endpoint: ColdEndpointModel) {
        val sentMillis = host.clockMillis
        val receive = host.callback<LoadReport> { accept(endpoint, sentMillis, it) }
        world.carry {
            val report = LoadReport(endpoint.startCount, endpoint.cold, endpoint.runningCount)
            world.carry { receive(report) }
        }
    }

    private fun accept(endpoint: ColdEndpointModel, sentMillis: Long, report: LoadReport) {
        accept(ColdStartEvent.Seen(endpoint.name, report.startCount, report.cold))
        knownStarts.merge(endpoint.name, report.startCount, ::maxOf)
        lease(endpoint.name, ColdLeaseEvent.LoadRead(sentMillis, report.running))
        lease(endpoint.name, ColdLeaseEvent.ColdState(limit.isCold(endpoint.name), contends(endpoint)))
    }

    private fun contends(endpoint: ColdEndpointModel): Boolean =
        (number + endpoint.name.hashCode()) % ColdWorld.GATEWAYS < CONTENDERS

    private fun accept(event: ColdStartEvent) {
        limit.accept(event, host.clockMillis)
    }

    private fun lease(endpoint: EndpointId, event: ColdLeaseEvent) {
        leases.handle(host.clockMillis, endpoint, event).forEach { action ->
            client.perform(action) { lease(endpoint, ColdLeaseEvent.Lease(it)) }
        }
    }

    private fun request(endpoint: ColdEndpointModel) {
        val name = endpoint.name
        val known = knownStarts[name]
        lease(name, ColdLeaseEvent.Tick)
        val grant = leases.grant(host.clockMillis, name)
        if (grant != null) {
            accept(ColdStartEvent.LeaseHeld(name, grant.untilMillis))
        } else {
            accept(ColdStartEvent.LeaseLost(name))
        }
        val foreign = if (world.isFaulty(SeededFault.COLD_FOREIGN_WORK_IGNORED)) 0 else grant?.foreignRunning ?: 0
        val decision = limit.decide(name, (running[name] ?: 0) + foreign, host.clockMillis)
        val ignored = decision == ColdStartDecision.NO_LEASE && world.isFaulty(SeededFault.COLD_LEASE_IGNORED)
        val sends = decision == ColdStartDecision.WARM || decision == ColdStartDecision.SLOT_FREE || ignored
        if (known != null && sends) send(endpoint, known, decision != ColdStartDecision.WARM)
    }

    private fun send(endpoint: ColdEndpointModel, known: Long, limited: Boolean) {
        val name = endpoint.name
        running.merge(name, 1, Int::plus)
        var ended = false
        val end = host.bound {
            if (!ended) running.merge(name, -1, Int::plus)
            ended = true
        }
        world.carryOnce(DELIVERY_DEADLINE_MILLIS, lost = { world.scheduler.after(DELIVERY_DEADLINE_MILLIS, end) }) {
            endpoint.dispatch(known, limited) { world.scheduler.after(1, end) }
        }
    }

    private class LoadReport(val startCount: Long, val cold: Boolean, val running: Int)

    private companion object {
        const val REPORT_MILLIS = 500L
        const val REQUEST_MILLIS = 400L
        const val DELIVERY_DEADLINE_MILLIS = 1_800L
        const val CONTENDERS = 2
    }
}
