package org.parsleymoor.relay.fleet

import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.ZoneId

/**
 * The endpoints that this instance may send work to. Entries that are missing after the list was out of reach are kept
 * for [graceMillis] from its return, because endpoints that lapsed meanwhile need that long to register again. Not safe
 * for use from several threads.
 */
public class EndpointTable(private val graceMillis: Long = 2_000) {
    private val states = LinkedHashMap<EndpointId, EndpointState>()
    private var interrupted = false
    private var graceUntilMillis = Long.MIN_VALUE

    /** Availability zones that get no new work. */
    public var evacuated: Set<ZoneId> = emptySet()

    /** All endpoints, with those that only wait to register again. */
    public val all: Collection<EndpointState> get() = states.values

    /** Returns the state of [id], or null. */
    public operator fun get(id: EndpointId): EndpointState? = states[id]

    /** Notes that the list cannot be read. */
    public fun markListUnavailable() {
        interrupted = true
    }

    /** Notes that the list was read, or that a watch on it answered; returns whether this ended an interruption. */
    public fun markListAvailable(nowMillis: Long): Boolean {
        val ended = interrupted
        if (ended) graceUntilMillis = nowMillis + graceMillis
        interrupted = false
        return ended
    }

    /** Takes in a new or changed entry. */
    public fun put(entry: EndpointEntry, nowMillis: Long) {
        val state = states[entry.id]
        if (state == null) states[entry.id] = EndpointState(entry, nowMillis) else state.accept(entry, nowMillis)
    }

    /** Takes in that [id] is no longer listed; returns whether it is gone at once. */
    public fun remove(id: EndpointId, nowMillis: Long): Boolean {
        val state = states[id] ?: return false
        val mayReturn = (interrupted || nowMillis < graceUntilMillis) && !state.entry.draining
        if (mayReturn) state.missingSinceMillis = state.missingSinceMillis ?: nowMillis else states -= id
        return !mayReturn
    }

    /** Replaces the whole list. */
    public fun replaceAll(entries: List<EndpointEntry>, nowMillis: Long) {
        entries.forEach { put(it, nowMillis) }
        val listed = entries.map { it.id }.toSet()
        (states.keys - listed).toList().forEach { remove(it, nowMillis) }
    }

    /** Drops the endpoints that did not register again in time; returns them. */
    public fun expire(nowMillis: Long): List<EndpointId> {
        if (interrupted || nowMillis < graceUntilMillis) return emptyList()
        val gone = states.values.filter { it.missingSinceMillis != null }.map { it.entry.id }
        states -= gone.toSet()
        return gone
    }

    /** Returns the endpoints of [service] that may get new work at [nowMillis]. */
    public fun serving(service: String): List<EndpointState> = states.values.filter {
        it.entry.service == service && !it.entry.draining && it.entry.zone !in evacuated
    }
}
