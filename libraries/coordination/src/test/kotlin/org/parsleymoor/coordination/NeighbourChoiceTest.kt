package org.parsleymoor.coordination

import org.junit.jupiter.api.Test
import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.RegionId
import org.parsleymoor.core.ZoneId
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

class NeighbourChoiceTest {
    @Test
    fun `a gateway alone in its zone and region still has eight neighbours`() {
        val members = List(30) { member(it, zones = 30, regions = 30) }
        val membership = Membership(members.first())
        membership.handle(0, MembershipEvent.Listed(members))
        expectThat(membership.neighbours).hasSize(8)
    }

    @Test
    fun `all gateways are connected through neighbours`() {
        val members = List(40) { member(it, zones = 20, regions = 8) }
        val edges = members.associate { it.instance to neighboursOf(it, members) }
        val reached = mutableSetOf(members.first().instance)
        do {
            val next = reached.flatMap { edges.getValue(it) } + edges.filterValues { it.any(reached::contains) }.keys
        } while (reached.addAll(next))
        expectThat(reached).hasSize(members.size)
    }

    @Test
    fun `a heartbeat that changes nothing leaves the neighbours as they are`() {
        val members = List(30) { member(it, zones = 3, regions = 2) }
        val membership = Membership(members.first())
        membership.handle(0, MembershipEvent.Listed(members))
        val neighbour = members.first { it.instance in membership.neighbours }
        membership.handle(1, heartbeat(neighbour))
        expectThat(membership.handle(2, heartbeat(neighbour))).isEqualTo(emptyList())
    }

    @Test
    fun `a neighbour whose heartbeat says that it leaves is replaced`() {
        val members = List(30) { member(it, zones = 3, regions = 2) }
        val membership = Membership(members.first())
        membership.handle(0, MembershipEvent.Listed(members))
        val neighbour = members.first { it.instance in membership.neighbours }
        membership.handle(1, heartbeat(neighbour.copy(leaving = true)))
        expectThat(neighbour.instance !in membership.neighbours).isTrue()
        expectThat(membership.neighbours).hasSize(8)
    }

    private fun heartbeat(member: Member) = MembershipEvent.HeartbeatReceived(member, Incarnation(member.instance, 1))

    private fun neighboursOf(self: Member, members: List<Member>): Set<InstanceId> {
        val membership = Membership(self)
        membership.handle(0, MembershipEvent.Listed(members))
        return membership.neighbours
    }

    private fun member(index: Int, zones: Int, regions: Int) = Member(
        instance = InstanceId("gateway-$index"),
        zone = ZoneId("zone-${index % zones}"),
        region = RegionId("region-${index % regions}"),
        peerAddress = "127.0.0.1:${7_000 + index}",
    )
}
