package org.parsleymoor.relay.exchange

import org.parsleymoor.core.ZoneId
import org.parsleymoor.core.rendezvousOrder

/**
 * Ranks the instances as readers of a source that all of them need: the load of an engine, or the events of a KV cache
 * store. Instances in the availability zone of the source rank first. The first instance reads and shares the result;
 * each of the others reads only after it has received nothing for a delay that increases with its rank, so that no
 * messages are needed to agree on a reader. Not thread-safe.
 */
public class ReaderRanking(private val self: Member) {
    private var members: Set<Member> = setOf(self)
    private val ranks = HashMap<String, Rank>()

    /** Replaces the set of running instances. */
    public fun update(members: Collection<Member>) {
        val updated = members.toSet() + self
        if (updated == this.members) return
        this.members = updated
        ranks.clear()
    }

    /** Returns the rank of this instance, 0 first, for [source] in [zone]. */
    public fun rank(source: String, zone: ZoneId): Int = rankOf(source, zone).rank

    /** Returns how much longer than the first reader this instance waits for updates from [source] in [zone]. */
    public fun takeoverDelayMillis(source: String, zone: ZoneId): Long = rankOf(source, zone).takeoverDelayMillis

    private fun rankOf(source: String, zone: ZoneId): Rank = ranks.getOrPut(source) {
        val (near, far) = members.partition { it.zone == zone }
        val nearDelayMillis = minOf(near.size, MAX_NEAR_STEPS) * NEAR_DELAY_STEP_MILLIS
        if (self.zone == zone) {
            val rank = rank(source, near)
            Rank(rank, minOf(rank, MAX_NEAR_STEPS) * NEAR_DELAY_STEP_MILLIS)
        } else {
            val rank = rank(source, far)
            Rank(near.size + rank, nearDelayMillis + rank * FAR_DELAY_STEP_MILLIS)
        }
    }

    private fun rank(source: String, among: List<Member>): Int =
        rendezvousOrder(source, among) { it.id.value }.indexOfFirst { it.id == self.id }

    private class Rank(val rank: Int, val takeoverDelayMillis: Long)

    private companion object {
        // An update reaches every instance within this time, even through two hubs.
        const val NEAR_DELAY_STEP_MILLIS = 400L

        // After this many silent instances, no instance in the zone is expected to be able to read.
        const val MAX_NEAR_STEPS = 7

        // Shorter than an update takes: when a whole zone falls silent, a few instances in other zones read at once.
        const val FAR_DELAY_STEP_MILLIS = 60L
    }
}
