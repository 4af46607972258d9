package org.parsleymoor.relay.exchange

import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.ZoneId
import org.parsleymoor.core.stableHash

/**
 * The peers to which an instance sends an update, which depends on how far they forward it: [hub] forwards it to all
 * zones, [zones] each within their own availability zone, and [last] not at all.
 */
public data class Recipients(
    public val hub: InstanceId?,
    public val zones: List<InstanceId>,
    public val last: List<InstanceId>,
)

/**
 * Decides which peers an instance keeps connections to and which updates it sends to each. In a small deployment all
 * instances are connected. In a larger one, the two instances with the largest processor share in each availability
 * zone are its hubs: a hub connects to the hubs of the other zones, and every other instance to the hubs of its own.
 * The number of messages therefore grows linearly with the number of instances, not with its square, and cutting off
 * one zone separates no others. Not thread-safe.
 */
public class PeerTree(private val self: Member) {
    private var zones: Map<ZoneId, List<Member>> = mapOf(self.zone to listOf(self))
    private val wantedSinceMillis = HashMap<InstanceId, Long>()
    private val avoidedUntilMillis = HashMap<InstanceId, Long>()

    /** Whether every instance connects to every other. */
    public var direct: Boolean = true
        private set

    /** Replaces the set of running instances. */
    public fun update(members: Collection<Member>) {
        val all = members.filter { it.id != self.id } + self
        direct = all.size <= DIRECT_INSTANCES
        zones = all.groupBy { it.zone }.mapValues { (_, inZone) -> inZone.sortedWith(HUB_ORDER) }
        watchesObjectStore = objectStoreWatchers().any { it.id == self.id }
    }

    /** Returns the members to keep connections to; [connected] are those that are connected now. */
    public fun neighbours(connected: Set<InstanceId>, nowMillis: Long): List<Member> {
        val wanted = when {
            direct -> zones.values.flatten()
            isHub(nowMillis) -> zones.keys.flatMap { hubs(it, nowMillis) }
            else -> hubs(self.zone, nowMillis)
        }.filter { it.id != self.id }
        wantedSinceMillis.keys.retainAll(wanted.map { it.id }.toSet() - connected)
        wanted.filter { it.id !in connected }.forEach { member ->
            if (nowMillis - wantedSinceMillis.getOrPut(member.id) { nowMillis } >= CONNECT_TIMEOUT_MILLIS) {
                avoidedUntilMillis[member.id] = nowMillis + AVOID_MILLIS
            }
        }
        return wanted
    }

    /** Returns whether this instance forwards the updates of its availability zone. */
    public fun isHub(nowMillis: Long): Boolean = !direct && hubs(self.zone, nowMillis).any { it.id == self.id }

    /** Returns the recipients among [connected], which maps connected peers to their availability zones. */
    public fun recipients(connected: Map<InstanceId, ZoneId>, nowMillis: Long): Recipients {
        if (direct) return Recipients(hub = null, zones = emptyList(), last = connected.keys.toList())
        return Recipients(
            hub = if (isHub(nowMillis)) null else firstConnected(self.zone, connected.keys),
            zones = (zones.keys - self.zone).mapNotNull { firstConnected(it, connected.keys) },
            last = connected.filterValues { it == self.zone }.keys.toList(),
        )
    }

    /**
     * The rank of this instance, 0 first, in the order in which the instances of its availability zone take over
     * reading the object store.
     */
    public val rank: Int get() = zones[self.zone].orEmpty().indexOfFirst { it.id == self.id }.coerceAtLeast(0)

    /** Whether this instance watches the object store on behalf of the others. */
    public var watchesObjectStore: Boolean = true
        private set

    /** Picks the first instance of every zone before the second of any, so that the watchers are spread over zones. */
    private fun objectStoreWatchers(): List<Member> = zones.entries.sortedBy { it.key.value.stableHash() }
        .flatMap { (_, inZone) -> inZone.withIndex() }.sortedBy { it.index }.take(STORE_WATCHERS).map { it.value }

    private fun hubs(zone: ZoneId, nowMillis: Long): List<Member> =
        zones[zone].orEmpty().filter { nowMillis >= (avoidedUntilMillis[it.id] ?: Long.MIN_VALUE) }.take(HUBS_PER_ZONE)

    private fun firstConnected(zone: ZoneId, connected: Set<InstanceId>): InstanceId? =
        zones[zone].orEmpty().firstOrNull { it.id in connected }?.id

    private companion object {
        // Up to this size, sending a message to every instance costs each of them less than a second hop through a hub.
        const val DIRECT_INSTANCES = 12

        // One forwards updates; the other takes over as soon as the first falls silent.
        const val HUBS_PER_ZONE = 2

        // Calls to the object store are charged; two watchers may fail before others have to notice and take over.
        const val STORE_WATCHERS = 3

        // A connection is attempted once a second and then takes a round trip.
        const val CONNECT_TIMEOUT_MILLIS = 2_000L

        // An instance restarts within two seconds, or later on a slow machine.
        const val AVOID_MILLIS = 5_000L
        val HUB_ORDER = compareByDescending<Member> { it.processors }.thenBy { it.id.value.stableHash() }
    }
}
