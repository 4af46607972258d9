package org.parsleymoor.relay.exchange

import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.ZoneId
import org.parsleymoor.core.stableHash

/**
 * To whom an instance tells news: [hub] for news that all others should have, [zones] for what only their availability
 * zones lack, [last] for what needs to go no further.
 */
public data class Recipients(
    public val hub: InstanceId?,
    public val zones: List<InstanceId>,
    public val last: List<InstanceId>,
)

/**
 * Decides which peers an instance keeps connections to and to whom it tells what. In a small deployment all are
 * connected. In a larger one two hubs in each availability zone, those with the most processor share, are connected to
 * the hubs of the other zones, and every other instance to the hubs of its own zone, so that messages grow with the
 * number of instances and not with its square, and a zone that is cut off separates nobody else. Not safe for use from
 * several threads.
 */
public class PeerTree(private val self: Member) {
    private var zones: Map<ZoneId, List<Member>> = mapOf(self.zone to listOf(self))
    private val wantedSinceMillis = HashMap<InstanceId, Long>()
    private val avoidedUntilMillis = HashMap<InstanceId, Long>()

    /** Whether all instances are connected to each other. */
    public var direct: Boolean = true
        private set

    /** Takes in the instances that run. */
    public fun update(members: Collection<Member>) {
        val all = members.filter { it.id != self.id } + self
        direct = all.size <= DIRECT_INSTANCES
        zones = all.groupBy { it.zone }.mapValues { (_, inZone) -> inZone.sortedWith(HUB_ORDER) }
        watchesObjectStore = followers().any { it.id == self.id }
    }

    /** Returns the members to keep connections to; [connected] are those that there is a connection to. */
    public fun neighbours(connected: Set<InstanceId>, nowMillis: Long): List<Member> {
        val wanted = when {
            direct -> zones.values.flatten()
            isHub(nowMillis) -> zones.keys.flatMap { hubs(it, nowMillis) }
            else -> hubs(self.zone, nowMillis)
        }.filter { it.id != self.id }
        wantedSinceMillis.keys.retainAll(wanted.map { it.id }.toSet() - connected)
        wanted.filter { it.id !in connected }.forEach { member ->
            if (nowMillis - wantedSinceMillis.getOrPut(member.id) { nowMillis } >= CONNECT_MILLIS) {
                avoidedUntilMillis[member.id] = nowMillis + AVOID_MILLIS
            }
        }
        return wanted
    }

    /** Whether this instance passes on the news of its availability zone. */
    public fun isHub(nowMillis: Long): Boolean = !direct && hubs(self.zone, nowMillis).any { it.id == self.id }

    /** Returns whom of [connected], whose availability zones are given, this instance tells what. */
    public fun recipients(connected: Map<InstanceId, ZoneId>, nowMillis: Long): Recipients {
        if (direct) return Recipients(hub = null, zones = emptyList(), last = connected.keys.toList())
        return Recipients(
            hub = if (isHub(nowMillis)) null else first(self.zone, connected.keys),
            zones = (zones.keys - self.zone).mapNotNull { first(it, connected.keys) },
            last = connected.filterValues { it == self.zone }.keys.toList(),
        )
    }

    /**
     * This instance's place, 0 first, in the order in which the instances of its availability zone take over reading
     * the object store.
     */
    public val rank: Int get() = zones[self.zone].orEmpty().indexOfFirst { it.id == self.id }.coerceAtLeast(0)

    /** Whether this instance follows the object store for the others. */
    public var watchesObjectStore: Boolean = true
        private set

    /** The first of each zone come before the second of any, so that followers are spread over the zones. */
    private fun followers(): List<Member> = zones.entries.sortedBy { it.key.value.stableHash() }
        .flatMap { (_, inZone) -> inZone.withIndex() }.sortedBy { it.index }.take(STORE_FOLLOWERS).map { it.value }

    private fun hubs(zone: ZoneId, nowMillis: Long): List<Member> =
        zones[zone].orEmpty().filter { nowMillis >= (avoidedUntilMillis[it.id] ?: Long.MIN_VALUE) }.take(HUBS)

    private fun first(zone: ZoneId, connected: Set<InstanceId>): InstanceId? =
        zones[zone].orEmpty().firstOrNull { it.id in connected }?.id

    private companion object {
        // Up to here a message to every other instance costs each of them less than the second hop through a hub.
        const val DIRECT_INSTANCES = 12

        // One passes news on, the other takes its place as soon as it falls silent.
        const val HUBS = 2

        // Each pays for its calls; two may fail before others have to notice and take over.
        const val STORE_FOLLOWERS = 3

        // Connections are tried once a second and then take a round trip.
        const val CONNECT_MILLIS = 2_000L

        // An instance that restarts is back within two seconds, one on a slow machine later.
        const val AVOID_MILLIS = 5_000L
        val HUB_ORDER = compareByDescending<Member> { it.processors }.thenBy { it.id.value.stableHash() }
    }
}
