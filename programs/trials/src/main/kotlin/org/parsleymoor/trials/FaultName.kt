package org.parsleymoor.trials

/** The experiments of `bin/faults run`. */
internal enum class FaultName(val spoken: String) {
    GATEWAY_KILLED("gateway-killed"),
    PLANNED_STOP("planned-stop"),
}

/** Returns the rounds of the experiment [name]: the faults of one round come together. */
internal fun faultRounds(name: FaultName, fleet: Fleet, seed: Long): List<List<Fault>> {
    val place = fleet.gateways[Math.floorMod(seed, fleet.gateways.size)]
    val fault = when (name) {
        FaultName.GATEWAY_KILLED -> GatewayKilled(fleet, place)
        FaultName.PLANNED_STOP -> PlannedStop(fleet, place)
    }
    return listOf(listOf(fault))
}
