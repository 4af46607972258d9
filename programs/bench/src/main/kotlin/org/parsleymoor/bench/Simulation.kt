package org.parsleymoor.bench

/** One run of a workload under a policy; the same options give the same result. */
internal class Simulation(private val workload: Workload, private val options: RunOptions) {
    private val events = EventQueue()
    private val fleet = SimulatedFleet(workload, options, events)

    fun run(requests: List<SimulatedRequest>): Measures {
        fleet.start()
        val turns = HashMap<String, Int>()
        for (request in requests) {
            val gateways = fleet.gateways.filter { it.region.value == request.callerRegion }
            val turn = turns.merge(request.callerRegion, 1, Int::plus) ?: 0
            val gateway = gateways[turn % gateways.size]
            events.at(request.arrivalMillis) { gateway.receive(request) }
        }
        if (options.zoneOut) scheduleZoneOut()
        events.run()
        return fleet.measures
    }

    private fun scheduleZoneOut() {
        val out = workload.zoneOut
        val leaves = out.atHours * MILLIS_PER_HOUR
        val returns = leaves + out.minutes * MILLIS_PER_MINUTE
        events.at(leaves) { fleet.engines.filter { it.zone.value == out.zone }.forEach { it.outSinceMillis = leaves } }
        events.at(returns) { restart(out.zone) }
        fleet.gateways.forEachIndexed { index, gateway ->
            val delay = (index + 1) * CONFIGURATION_MILLIS / fleet.gateways.size
            events.at(leaves + delay) { gateway.view.zonesOut += out.zone }
            events.at(returns + delay) { gateway.view.zonesOut -= out.zone }
        }
    }

    private fun restart(zone: String) {
        fleet.engines.filter { it.zone.value == zone }.forEach { it.restart(COLD_ANSWERS, COLD_MILLIS) }
    }

    private companion object {
        const val CONFIGURATION_MILLIS = 2_000.0
    }
}
