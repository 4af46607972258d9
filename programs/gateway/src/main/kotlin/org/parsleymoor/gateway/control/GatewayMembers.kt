package org.parsleymoor.gateway.control

import com.github.michaelbull.result.onSuccess
import org.parsleymoor.clients.ListedInstance
import org.parsleymoor.clients.PlatformClient
import org.parsleymoor.coordination.Member
import org.parsleymoor.coordination.MemberState
import org.parsleymoor.coordination.Membership
import org.parsleymoor.coordination.MembershipAction
import org.parsleymoor.coordination.MembershipEntry
import org.parsleymoor.coordination.MembershipEvent
import org.parsleymoor.core.Clock
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.RegionId
import org.parsleymoor.core.rendezvousOrder
import org.parsleymoor.gateway.ConfigurationHolder
import org.parsleymoor.peering.PeerIdentity
import org.parsleymoor.peering.PeerMessage

/**
 * The gateways that are believed to run. [onNeighbours] is told the instances and peer addresses that connections are
 * to be kept to whenever they change.
 */
internal class GatewayMembers(
    private val identity: PeerIdentity,
    private val platform: PlatformClient?,
    private val holder: ConfigurationHolder,
    private val clock: Clock,
    private val onNeighbours: (Map<InstanceId, String>) -> Unit,
) {
    private val lock = Any()
    private var membership = Membership(identity.member(""))

    /** Whether the platform's list was read; before that, an instance that is not known may still run. */
    @Volatile
    var hasList = false
        private set

    /** Starts anew with this gateway at [peerAddress]. */
    fun start(peerAddress: String) {
        synchronized(lock) { membership = Membership(identity.member(peerAddress)) }
    }

    /** Reads the platform's list; without an answer the known members stay. */
    suspend fun readList() {
        platform?.instances()?.onSuccess { listed ->
            handle(
                MembershipEvent.Listed(listed.map { it.toMember(holder.current?.regionOf(it.zone) ?: identity.region) })
            )
            hasList = true
        }
    }

    /** Takes in a sign of life of [remote], which says itself whether it is [leaving]. */
    fun heard(remote: PeerMessage.Hello, leaving: Boolean) {
        val member = Member(remote.incarnation.instance, remote.zone, remote.region, remote.address, leaving)
        handle(MembershipEvent.HeartbeatReceived(member, remote.incarnation))
    }

    /** The instances of this zone that are not known to be silent. */
    fun instancesOfZone(): List<InstanceId> =
        view().filter { it.member.zone == identity.zone && it.state != MemberState.SILENT }.map { it.member.instance }

    /** The number of gateways of this region in the larger of the platform's list and the heartbeat view. */
    fun gatewaysInRegion(): Int = view().count { it.member.region == identity.region }

    /** Whether this gateway is among the first two that try for what [key] names. */
    fun contends(key: String): Boolean =
        order(key).take(CONTENDERS).any { it.instance == identity.incarnation.instance }

    /** The gateways that do not leave, in the order in which they try for what [key] names. */
    fun order(key: String): List<Member> = synchronized(lock) { membership.order(key, clock.nowMillis()) }

    /** The first two gateways of [region] for [key] that are not silent or leaving. */
    fun contenders(region: RegionId, key: String): List<Member> {
        val candidates = view().filter { it.member.region == region && it.state in AVAILABLE }.map { it.member }
        return rendezvousOrder(key, candidates) { it.instance.value }.take(CONTENDERS)
    }

    /** All known gateways with their state. */
    fun view(): List<MembershipEntry> = synchronized(lock) { membership.view(clock.nowMillis()) }

    /** Takes in [event] and passes on what follows from it. */
    fun handle(event: MembershipEvent) {
        val actions = synchronized(lock) { membership.handle(clock.nowMillis(), event) }
        actions.forEach { action ->
            when (action) {
                is MembershipAction.KeepConnectedTo ->
                    onNeighbours(action.neighbours.associate { it.instance to it.peerAddress })
            }
        }
    }

    private companion object {
        const val CONTENDERS = 2
        val AVAILABLE = setOf(MemberState.LIVE, MemberState.LISTED)
    }
}

private fun PeerIdentity.member(peerAddress: String) = Member(incarnation.instance, zone, region, peerAddress)

private fun ListedInstance.toMember(region: RegionId) = Member(instance, zone, region, peerAddress, leaving)
