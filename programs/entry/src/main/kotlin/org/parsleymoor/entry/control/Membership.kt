package org.parsleymoor.entry.control

import org.parsleymoor.relay.exchange.Member
import org.parsleymoor.relay.exchange.PeerTree
import org.parsleymoor.relay.exchange.ReaderRanking

/** What follows from the instances that run: who talks to whom, and who reads what for the others. */
internal class Membership(val self: Member) {
    val tree = PeerTree(self)
    val roster = ReaderRanking(self)

    /** Takes in the instances that run. */
    fun update(members: Collection<Member>) {
        tree.update(members)
        roster.update(members)
    }
}
