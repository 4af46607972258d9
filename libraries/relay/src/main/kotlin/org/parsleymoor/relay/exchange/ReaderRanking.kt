package org.parsleymoor.relay.exchange

import org.parsleymoor.core.ZoneId
import org.parsleymoor.core.rendezvousOrder

/**
 * The order in which the instances read a source that all of them need: the load of an engine, or the events of a KV
 * cache store. Instances in the availability zone of the source come first. One instance reads and tells the others;
 * each of the others reads only after it has heard nothing for its own, longer wait, so no message is needed to agree.
 * Not safe for use from several threads.
 */
public class ReaderRanking(private val self: Member) {
    private var members: Set<Member> = setOf(self)
    private val positions = HashMap<String, Position>()

    /** Takes in the instances that run. */
    public fun update(members: Collection<Member>) {
        val updated = members.toSet() + self
        if (updated == this.members) return
        this.members = updated
        positions.clear()
    }

    /** This instance's place in the order for [source] in [zone], 0 first. */
    public fun rank(source: String, zone: ZoneId): Int = position(source, zone).rank

    /** How much longer than the first this instance waits for news of [source] in [zone], in milliseconds. */
    public fun waitMillis(source: String, zone: ZoneId): Long = position(source, zone).waitMillis

    private fun position(source: String, zone: ZoneId): Position = positions.getOrPut(source) {
        val (near, far) = members.partition { it.zone == zone }
        val outside = minOf(near.size, MOST_NEAR_TURNS) * NEAR_TURN_MILLIS
        if (self.zone == zone) {
            val rank = rank(source, near)
            Position(rank, minOf(rank, MOST_NEAR_TURNS) * NEAR_TURN_MILLIS)
        } else {
            val rank = rank(source, far)
            Position(near.size + rank, outside + rank * FAR_TURN_MILLIS)
        }
    }

    private fun rank(source: String, among: List<Member>): Int =
        rendezvousOrder(source, among) { it.id.value }.indexOfFirst { it.id == self.id }

    private class Position(val rank: Int, val waitMillis: Long)

    private companion object {
        // News of the source reach every instance within this time, also through two hubs.
        const val NEAR_TURN_MILLIS = 400L

        // Beyond this number of silent instances the zone is taken to have none that can read.
        const val MOST_NEAR_TURNS = 7

        // A few instances elsewhere read before they hear of each other when a whole zone falls silent.
        const val FAR_TURN_MILLIS = 60L
    }
}
