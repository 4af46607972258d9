package org.parsleymoor.coordination

import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.rendezvousOrder

/**
 * The gateways that are believed to run: the platform's list joined with heartbeats. Views of different gateways may
 * differ; they only decide who tries first. Not safe for use from several threads.
 */
public class Membership(
    private val self: Member,
    private val settings: MembershipSettings = MembershipSettings(),
) {
    private var listed: Map<InstanceId, Member> = emptyMap()
    private val heard = HashMap<InstanceId, Heartbeat>()
    private var neighbourSinceMillis: Map<InstanceId, Long> = emptyMap()

    // Set when the members may differ from those that the neighbours were chosen from. Most events are heartbeats that
    // change nothing, and choosing costs a hash for each of up to 750 members.
    private var membersChanged = true

    /** The members that connections are kept to. */
    public val neighbours: Set<InstanceId> get() = neighbourSinceMillis.keys

    /** Applies [event] at [nowMillis]. */
    public fun handle(nowMillis: Long, event: MembershipEvent): List<MembershipAction> {
        when (event) {
            is MembershipEvent.Listed -> list(event.members.associateBy { it.instance })
            is MembershipEvent.HeartbeatReceived -> hear(nowMillis, event)
            is MembershipEvent.Tick -> forget(nowMillis)
        }
        return if (membersChanged) chooseNeighbours(nowMillis) else emptyList()
    }

    /** Returns the view at [nowMillis], this gateway included, by instance. */
    public fun view(nowMillis: Long): List<MembershipEntry> =
        known().map { MembershipEntry(it, stateOf(it, nowMillis), heard[it.instance]?.incarnation) }
            .sortedBy { it.member.instance.value }

    /**
     * Returns the members that do not leave in the order in which they try for [key]; those that fell silent come last.
     */
    public fun order(key: String, nowMillis: Long): List<Member> {
        val staying = view(nowMillis).filter { it.state != MemberState.LEAVING }
        return rendezvousOrder(key, staying) { it.member.instance.value }
            .sortedBy { it.state == MemberState.SILENT }
            .map { it.member }
    }

    private fun list(members: Map<InstanceId, Member>) {
        if (members != listed) membersChanged = true
        listed = members
    }

    private fun hear(nowMillis: Long, event: MembershipEvent.HeartbeatReceived) {
        val known = heard[event.member.instance]
        if (known != null && event.incarnation.startMillis < known.incarnation.startMillis) return
        if (known?.member != event.member) membersChanged = true
        heard[event.member.instance] = Heartbeat(event.member, event.incarnation, nowMillis)
    }

    private fun forget(nowMillis: Long) {
        val forgotten =
            heard.values.removeIf { it.member.instance !in listed && nowMillis - it.atMillis > settings.forgetMillis }
        if (forgotten) membersChanged = true
    }

    private fun known(): Collection<Member> {
        val members = HashMap(listed)
        heard.values.forEach { heartbeat ->
            val leaving = heartbeat.member.leaving || listed[heartbeat.member.instance]?.leaving == true
            members[heartbeat.member.instance] = heartbeat.member.copy(leaving = leaving)
        }
        members[self.instance] = self.copy(leaving = listed[self.instance]?.leaving == true)
        return members.values
    }

    private fun stateOf(member: Member, nowMillis: Long): MemberState {
        val heardMillis = heard[member.instance]?.atMillis ?: Long.MIN_VALUE
        val expectedMillis = neighbourSinceMillis[member.instance]?.let { maxOf(it, heardMillis) }
        return when {
            member.leaving -> MemberState.LEAVING
            member.instance == self.instance -> MemberState.LIVE
            heardMillis >= nowMillis - settings.silenceMillis -> MemberState.LIVE
            expectedMillis != null && expectedMillis < nowMillis - settings.silenceMillis -> MemberState.SILENT
            else -> MemberState.LISTED
        }
    }

    private fun chooseNeighbours(nowMillis: Long): List<MembershipAction> {
        membersChanged = false
        val candidates = known().filter { it.instance != self.instance && !it.leaving }
        val chosen = if (candidates.size < settings.fullMeshSize) candidates else settings.nearest(self, candidates)
        val names = chosen.mapTo(HashSet()) { it.instance }
        if (names == neighbourSinceMillis.keys) return emptyList()
        neighbourSinceMillis = names.associateWith { neighbourSinceMillis[it] ?: nowMillis }
        return listOf(MembershipAction.KeepConnectedTo(chosen.sortedBy { it.instance.value }))
    }

    private class Heartbeat(val member: Member, val incarnation: Incarnation, val atMillis: Long)
}

private fun MembershipSettings.nearest(self: Member, candidates: List<Member>): List<Member> {
    val ordered = rendezvousOrder(self.instance.value, candidates) { it.instance.value }
    val inZone = ordered.filter { it.zone == self.zone }.take(neighboursInZone)
    val inRegion = ordered.filter { it.region == self.region && it.zone != self.zone }.take(neighboursInRegion)
    val elsewhere = ordered.filter { it.region != self.region }.take(neighboursElsewhere)
    val chosen = inZone + inRegion + elsewhere
    val total = neighboursInZone + neighboursInRegion + neighboursElsewhere
    // A small zone or region leaves places free; few connections could split the gateways into groups that never talk.
    return chosen + (ordered - chosen.toSet()).take(total - chosen.size)
}
