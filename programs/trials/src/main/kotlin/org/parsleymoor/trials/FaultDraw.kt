package org.parsleymoor.trials

import org.apache.commons.rng.simple.RandomSource

/** Draws from [seed] what each fault hits, and the pairs of the experiment `all`. */
internal class FaultDraw(private val fleet: Fleet, private val changes: Changes, private val seed: Long) {
    private val random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)

    /** Returns the rounds of the experiment [name]: the faults of one round come together. */
    fun rounds(name: FaultName): List<List<Fault>> =
        if (name == FaultName.ALL) pairs() else listOf(listOf(fault(name, LONG_MILLIS)))

    private fun pairs(): List<List<Fault>> {
        val left = (FaultName.entries - FaultName.ALL).toMutableList()
        return List(ROUNDS) {
            val first = left.removeAt(random.nextInt(left.size))
            val others = left.filter { it.part.isApartFrom(first.part) }
            val second = others[random.nextInt(others.size)]
            left -= second
            listOf(first, second).sorted().map { fault(it, SHORT_MILLIS) }
        }
    }

    private fun fault(name: FaultName, outageMillis: Long): Fault = when (name) {
        FaultName.ZONE_OUT_AND_BACK -> ZoneOut(changes, Deployment.zones.keys.random())
        FaultName.STORE_KILLED -> StoreKilled(fleet, listOf("store-1", "store-2").random())
        FaultName.SILENT_CONNECTIONS -> SilentConnections(fleet)
        FaultName.ENGINE_TURNS_COLD -> EngineTurnsCold(fleet, seed)
        FaultName.PLATFORM_SLOW -> PlatformSlow(fleet)
        FaultName.PLATFORM_ANSWER_LOST -> PlatformAnswerLost(fleet)
        FaultName.PLATFORM_DOWN -> PlatformDown(fleet, outageMillis)
        FaultName.GATEWAY_KILLED -> GatewayKilled(fleet, fleet.gateways.random(), outageMillis)
        FaultName.GATEWAY_PAUSED -> GatewayPaused(fleet, fleet.gateways.random())
        FaultName.PLANNED_STOP -> PlannedStop(fleet, fleet.gateways.random())
        FaultName.ALL -> error("expected the name of one fault, found ${name.argument}")
    }

    private fun <T> Collection<T>.random(): T = elementAt(random.nextInt(size))

    private companion object {
        const val ROUNDS = 3
        const val LONG_MILLIS = 60_000L
        const val SHORT_MILLIS = 15_000L
    }
}
