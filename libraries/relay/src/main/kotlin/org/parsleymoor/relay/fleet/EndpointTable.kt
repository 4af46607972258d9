package org.parsleymoor.relay.fleet

import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.ZoneId
import org.parsleymoor.relay.cache.EngineIncarnation
import org.parsleymoor.relay.speed.UsualTimes

/**
 * The endpoints that this instance may send requests to. Those whose entries may have expired in an outage of the
 * discovery list stay in use until they have had time to register again. Not thread-safe.
 */
public class EndpointTable(
    /** The limits that endpoints name on the requests of all instances together. */
    public val limits: EndpointLimits = EndpointLimits(InstanceId("alone")),
    /** The outages of the discovery list. */
    public val outages: ListOutages = ListOutages(),
) {
    private val states = LinkedHashMap<EndpointId, EndpointState>()
    internal val leaving = LeavingEndpoints()

    /** The times that work usually takes at the endpoints of each service. */
    public val usualTimes: UsualTimes = UsualTimes()

    /** The pauses that endpoints asked this instance for. */
    public val pauses: EndpointPauses = EndpointPauses()

    /** Availability zones that receive no new requests. */
    public var evacuated: Set<ZoneId> = emptySet()

    /** What is kept when the list comes back from an older copy. */
    public val restored: RestoredEndpoints = RestoredEndpoints()

    /** All endpoints, including those that are missing from the list and may register again. */
    public val all: Collection<EndpointState> get() = states.values

    /** Returns the state of the endpoint [id], or null when it is unknown. */
    public operator fun get(id: EndpointId): EndpointState? = states[id]

    /** Records that the list comes back from an older copy, which may lack endpoints until they register again. */
    public fun restore(nowMillis: Long) {
        outages.keepMissing(nowMillis)
        restored.restore(states.values.map { it.entry })
    }

    /** Adds or updates an entry. */
    public fun put(entry: EndpointEntry, nowMillis: Long) {
        val state = states[entry.id]
        if (state == null) states[entry.id] = EndpointState(entry, nowMillis) else state.accept(entry, nowMillis)
    }

    /** Removes [id], which is no longer listed, unless it may register again; returns whether it was removed. */
    public fun remove(id: EndpointId, nowMillis: Long): Boolean {
        val state = states[id] ?: return false
        val mayRegisterAgain = outages.mayHaveExpired(nowMillis) && !state.entry.draining
        if (mayRegisterAgain) {
            state.missingSinceMillis = state.missingSinceMillis ?: nowMillis
        } else {
            states -= id
            restored.recordRemoval(state.entry, nowMillis)
        }
        return !mayRegisterAgain
    }

    /** Removes and returns the endpoints that did not register again within the grace period. */
    public fun expire(nowMillis: Long): List<EndpointId> {
        if (outages.mayHaveExpired(nowMillis)) return emptyList()
        val expired = states.values.filter { it.missingSinceMillis != null }.map { it.entry }
        expired.forEach {
            states -= it.id
            restored.recordRemoval(it, nowMillis)
        }
        return expired.map { it.id }
    }

    /** Records that [endpoint] announced that it leaves; returns false if that is known or it has started again. */
    public fun markLeaving(endpoint: EngineIncarnation): Boolean {
        val known = states[endpoint.endpoint]?.incarnation
        return (known == null || !known.startedAfter(endpoint)) && leaving.record(endpoint)
    }

    /** Whether [endpoint] announced that it leaves, whatever its entry says. */
    public fun isLeaving(endpoint: EngineIncarnation): Boolean = endpoint in leaving

    /** The listed endpoints that announced that they leave. */
    public val leavingListed: List<EndpointState>
        get() = leaving.all.mapNotNull { states[it.endpoint] }.filter { isLeaving(it.incarnation) }

    /** Returns the endpoints of [service] that may receive new requests. */
    public fun serving(service: String): List<EndpointState> = states.values.filter {
        it.entry.service == service && !it.entry.draining && it.entry.zone !in evacuated && !isLeaving(it.incarnation)
    }
}

/** Returns the release that all endpoints of [service] run, or null if that differs or is not known. */
public fun EndpointTable.release(service: String): String? =
    all.filter { it.entry.service == service && !it.entry.draining }.map { it.entry.release }.distinct().singleOrNull()

/** Returns the endpoints that are listed at [address]. */
public fun EndpointTable.at(address: SocketAddress): List<EndpointState> = all.filter { it.entry.address == address }

/** Removes and returns the endpoints that no longer count as leaving. */
public fun EndpointTable.expireLeaving(nowMillis: Long): Map<EngineIncarnation, LeavingEnd> =
    leaving.expire(all.associateBy { it.entry.id }, nowMillis)

/** Replaces the whole list with [entries]. */
public fun EndpointTable.replaceAll(entries: List<EndpointEntry>, nowMillis: Long) {
    entries.forEach { put(it, nowMillis) }
    val listed = entries.map { it.id }.toSet()
    (all.map { it.entry.id } - listed).forEach { remove(it, nowMillis) }
}
