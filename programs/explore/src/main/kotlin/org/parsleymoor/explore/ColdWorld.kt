package org.parsleymoor.explore

import org.parsleymoor.coordination.LeaseRecord

/** Gateways that send requests to endpoints in cold start, whose limit holds for all of them together (I4). */
internal class ColdWorld(settings: HistorySettings) : World(settings) {
    val platform = SimulatedPlatform<LeaseRecord>(this)
    val endpoints = (0 until ENDPOINTS).map { ColdEndpointModel(this, it) }
    private val processes = (0 until GATEWAYS).map { ColdProcess(this, Host(this, it), it) }

    init {
        processes.forEach { it.host.start() }
        processes.forEach { it.host.sufferHazards() }
        platform.sufferHazards()
        platform.onChange = { name, changed -> processes.forEach { it.watch(name, changed) } }
        restartEndpoints()
    }

    override fun check() {
        endpoints.filter { it.cold && it.limitedCount > COLD_LIMIT }.forEach {
            violate("I4", "at most $COLD_LIMIT requests at the cold ${it.name}", "${it.limitedCount} requests")
        }
    }

    private fun restartEndpoints() {
        scheduler.after(SECOND_MILLIS) {
            if (chance.happens(hazards.restart)) chance.pick(endpoints).restart()
            restartEndpoints()
        }
    }

    companion object {
        const val GATEWAYS = 4
        const val ENDPOINTS = 3
        const val COLD_LIMIT = 2
        private const val SECOND_MILLIS = 1_000L
    }
}
