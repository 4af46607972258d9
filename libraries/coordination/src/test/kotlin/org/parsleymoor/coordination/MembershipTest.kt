package org.parsleymoor.coordination

import org.junit.jupiter.api.Test
import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.RegionId
import org.parsleymoor.core.ZoneId
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

class MembershipTest {
    private val fleet = (0 until 750).map { member(it) }

    /** Guards against a number of connections that grows with the fleet. */
    @Test
    fun `a gateway of a large fleet has eight neighbours`() {
        val membership = listed(fleet)

        expectThat(membership.neighbours).hasSize(8)
    }

    /** Guards against a small fleet that is not fully connected. */
    @Test
    fun `nine gateways are all connected`() {
        expectThat(listed(fleet.take(9)).neighbours).hasSize(8)
    }

    /** Guards against a revision that reaches a gateway too late: within 14 s it can pass over 14 heartbeats of 1 s. */
    @Test
    fun `every gateway is reached over few connections`() {
        val links = fleet.flatMap { self -> listed(fleet, self).neighbours.map { self.instance to it } }
        val reach = links.flatMap { listOf(it, it.second to it.first) }.groupBy({ it.first }, { it.second })
        val hops = hopsFrom(fleet.first().instance, reach)

        expectThat(hops).hasSize(750).get { values.max() }.isLessThanOrEqualTo(6)
    }

    /** Guards against preferring a gateway that failed after the last update of the platform's list. */
    @Test
    fun `a neighbour whose heartbeats stop comes last`() {
        val membership = listed(fleet.take(3))
        val silent = fleet[1]
        fleet.take(3).forEach { heartbeat(membership, 1_000, it) }
        (2..5).forEach { heartbeat(membership, it * 1_000L, fleet[2]) }

        expectThat(membership.order("key", 5_000).last()).isEqualTo(silent)
    }

    /** Guards against ignoring a new gateway until the platform's list includes it. */
    @Test
    fun `a gateway known only from heartbeats is in the view`() {
        val membership = listed(fleet.take(2))

        heartbeat(membership, 1_000, fleet[5])

        expectThat(membership.view(1_000).map { it.member }).contains(fleet[5])
    }

    private fun listed(members: List<Member>, self: Member = fleet.first()): Membership =
        Membership(self).also { it.handle(0, MembershipEvent.Listed(members)) }

    private fun heartbeat(membership: Membership, nowMillis: Long, member: Member) {
        membership.handle(nowMillis, MembershipEvent.HeartbeatReceived(member, Incarnation(member.instance, 1)))
    }

    private fun member(number: Int): Member {
        val zone = number % 29
        return Member(
            InstanceId("gateway-$number"),
            ZoneId("zone-$zone"),
            RegionId("region-${zone % 8}"),
            "127.0.0.1:$number",
        )
    }

    private fun hopsFrom(start: InstanceId, reach: Map<InstanceId, List<InstanceId>>): Map<InstanceId, Int> {
        val hops = mutableMapOf(start to 0)
        val queue = ArrayDeque(listOf(start))
        while (queue.isNotEmpty()) {
            val from = queue.removeFirst()
            reach.getValue(from).filter { it !in hops }.forEach {
                hops[it] = hops.getValue(from) + 1
                queue += it
            }
        }
        return hops
    }
}
