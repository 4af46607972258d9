package org.parsleymoor.relay.zones

import org.parsleymoor.core.ZoneId
import org.parsleymoor.relay.placement.Distance
import org.parsleymoor.relay.placement.Topology

/**
 * Divides the demand of each zone of [zones] among them: what its own engines can do below [fullShare] of their
 * capacity stays, the rest goes to zones with room, first within the region. Returns the tokens a second that leave, by
 * origin and destination. The instances of a zone compute it from the same prompts and, but for engines that only some
 * of them find to fail, the same engines, so that together they send what it says, and room is given to one zone only.
 * When the zones are fuller together, each is filled alike, up to its whole capacity; what exceeds that stays.
 */
public fun divideDemand(
    zones: List<ZoneLoad>,
    topology: Topology,
    fullShare: Double,
): Map<ZoneId, Map<ZoneId, Double>> {
    val capacity = zones.sumOf { it.capacity }
    if (capacity <= 0) return emptyMap()
    val level = maxOf(fullShare, minOf(1.0, zones.sumOf { it.demand } / capacity))
    val division = Division(zones, topology, level)
    division.place(Distance.SAME_REGION)
    division.place(Distance.OTHER_REGION)
    return division.flows
}

/** Tokens a second that are still to be placed, and the room that is left, while the demand is divided. */
private class Division(zones: List<ZoneLoad>, private val topology: Topology, level: Double) {
    private val excess = HashMap<ZoneId, Double>()
    private val room = HashMap<ZoneId, Double>()
    val flows = HashMap<ZoneId, HashMap<ZoneId, Double>>()

    init {
        zones.forEach {
            excess[it.zone] = (it.demand - it.capacity * level).coerceAtLeast(0.0)
            room[it.zone] = (it.capacity * level - it.demand).coerceAtLeast(0.0)
        }
    }

    /** Places the excess of all zones at those [distance] away; claims that exceed the room get a part each. */
    fun place(distance: Distance) {
        val claims = excess.flatMap { (origin, amount) -> claims(origin, amount, distance) }
        val claimed = claims.groupingBy { it.destination }.fold(0.0) { sum, claim -> sum + claim.amount }
        claims.forEach { claim ->
            val offered = room.getValue(claim.destination)
            move(claim, claim.amount * minOf(1.0, offered / claimed.getValue(claim.destination)))
        }
        claimed.forEach { (zone, amount) -> room[zone] = (room.getValue(zone) - amount).coerceAtLeast(0.0) }
    }

    private fun claims(origin: ZoneId, amount: Double, distance: Distance): List<Claim> {
        val reachable = room.filter { (zone, free) -> free > 0 && topology.distance(zone, origin) == distance }
        val total = reachable.values.sum()
        return if (amount <= 0 || total <= 0) {
            emptyList()
        } else {
            reachable.map { (zone, free) -> Claim(origin, zone, amount * free / total) }
        }
    }

    private fun move(claim: Claim, amount: Double) {
        flows.getOrPut(claim.origin) { HashMap() }.merge(claim.destination, amount, Double::plus)
        excess.merge(claim.origin, -amount, Double::plus)
    }

    private data class Claim(val origin: ZoneId, val destination: ZoneId, val amount: Double)
}
