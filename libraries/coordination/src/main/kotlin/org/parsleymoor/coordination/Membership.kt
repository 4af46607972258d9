package org.parsleymoor.coordination

import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.rendezvousOrder

/**
 * The gateways that are presumed alive: the platform's list merged with heartbeats. The views of two gateways may
 * differ, which only affects who tries first. Not thread-safe.
 */
public class Membership(
    private val self: Member,
    private val settings: MembershipSettings = MembershipSettings(),
) {
    private var listed: Map<InstanceId, Member> = emptyMap()
    private val heard = HashMap<InstanceId, Heartbeat>()
    private var neighbourSinceMillis: Map<InstanceId, Long> = emptyMap()

    // Whether the members may have changed since the neighbours were chosen. Most events are heartbeats that change
    // nothing, and choosing neighbours hashes up to 750 members.
    private var membersChanged = true

    /** The members that this gateway stays connected to. */
    public val neighbours: Set<InstanceId> get() = neighbourSinceMillis.keys

    /** Applies [event] at [nowMillis] and returns what to do next. */
    public fun handle(nowMillis: Long, event: MembershipEvent): List<MembershipAction> {
        when (event) {
            is MembershipEvent.Listed -> updateList(event.members.associateBy { it.instance })
            is MembershipEvent.HeartbeatReceived -> recordHeartbeat(nowMillis, event)
            is MembershipEvent.Tick -> removeExpired(nowMillis)
        }
        return if (membersChanged) chooseNeighbours(nowMillis) else emptyList()
    }

    /** Returns all members at [nowMillis], including this gateway, sorted by instance. */
    public fun view(nowMillis: Long): List<MembershipEntry> =
        members().map { MembershipEntry(it, stateOf(it, nowMillis), heard[it.instance]?.incarnation) }
            .sortedBy { it.member.instance.value }

    /**
     * Returns the members that are not leaving in the order in which they try to own [key]; silent ones come last.
     */
    public fun order(key: String, nowMillis: Long): List<Member> {
        val staying = view(nowMillis).filter { it.state != MemberState.LEAVING }
        return rendezvousOrder(key, staying) { it.member.instance.value }
            .sortedBy { it.state == MemberState.SILENT }
            .map { it.member }
    }

    private fun updateList(members: Map<InstanceId, Member>) {
        if (members != listed) membersChanged = true
        listed = members
    }

    private fun recordHeartbeat(nowMillis: Long, event: MembershipEvent.HeartbeatReceived) {
        val known = heard[event.member.instance]
        if (known != null && event.incarnation.startMillis < known.incarnation.startMillis) return
        if (known?.member != event.member) membersChanged = true
        heard[event.member.instance] = Heartbeat(event.member, event.incarnation, nowMillis)
    }

    private fun removeExpired(nowMillis: Long) {
        val removed =
            heard.values.removeIf { it.member.instance !in listed && nowMillis - it.atMillis > settings.forgetMillis }
        if (removed) membersChanged = true
    }

    private fun members(): Collection<Member> {
        val merged = HashMap(listed)
        heard.values.forEach { heartbeat ->
            val leaving = heartbeat.member.leaving || listed[heartbeat.member.instance]?.leaving == true
            merged[heartbeat.member.instance] = heartbeat.member.copy(leaving = leaving)
        }
        merged[self.instance] = self.copy(leaving = listed[self.instance]?.leaving == true)
        return merged.values
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
        val candidates = members().filter { it.instance != self.instance && !it.leaving }
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
    // Fill the places that a small zone or region leaves: few connections could split the fleet into isolated groups.
    return chosen + (ordered - chosen.toSet()).take(total - chosen.size)
}
