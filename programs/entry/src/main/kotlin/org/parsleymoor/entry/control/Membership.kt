package org.parsleymoor.entry.control

import org.parsleymoor.relay.exchange.Member
import org.parsleymoor.relay.exchange.PeerTree
import org.parsleymoor.relay.exchange.ReaderRanking

/** Derives from the live instances which of them connect to each other, and which one reads a source for the others. */
internal class Membership(val self: Member) {
    val tree = PeerTree(self)
    val roster = ReaderRanking(self)

    /** Replaces the set of live instances. */
    fun update(members: Collection<Member>) {
        tree.update(members)
        roster.update(members)
    }
}
