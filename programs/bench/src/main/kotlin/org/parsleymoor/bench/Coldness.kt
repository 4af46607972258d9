package org.parsleymoor.bench

import org.parsleymoor.limits.ColdStartEvent
import org.parsleymoor.limits.LoadReport

/** Keeps the gateways' cold start limits informed; engine n's lease is held by gateway n modulo their number. */
internal class Coldness(private val fleet: SimulatedFleet) {
    fun startWarm() {
        for (gateway in fleet.gateways) fleet.engines.forEach { warmUp(gateway, it) }
        fleet.engines.forEachIndexed { index, engine ->
            val holder = fleet.gateways[index % fleet.gateways.size]
            holder.view.cold.accept(ColdStartEvent.LeaseHeld(engine.endpoint, Long.MAX_VALUE), fleet.events.now)
        }
    }

    fun seen(gateway: SimulatedGateway, report: LoadReport) {
        gateway.view.cold.accept(ColdStartEvent.Seen(report.endpoint, report.startCount, report.cold), fleet.events.now)
    }

    fun answered(gateway: SimulatedGateway, engine: SimulatedEngine) {
        gateway.view.cold.accept(ColdStartEvent.Answered(engine.endpoint, 1.0, 1.0), fleet.events.now)
        val event = ColdStartEvent.Seen(engine.endpoint, engine.startCount, engine.isCold)
        gateway.view.cold.accept(event, fleet.events.now)
    }

    private fun warmUp(gateway: SimulatedGateway, engine: SimulatedEngine) {
        gateway.view.cold.accept(ColdStartEvent.Seen(engine.endpoint, engine.startCount), -COLD_MILLIS.toLong() * 2)
        repeat(COLD_ANSWERS) {
            gateway.view.cold.accept(ColdStartEvent.Answered(engine.endpoint, 1.0, 1.0), fleet.events.now)
        }
    }
}
